package placement

import (
	"context"
	"sync"
	"sync/atomic"

	"acaciacleat.example/core/routing"
	"acaciacleat.example/peers/link"
	"github.com/pkg/errors"
)

// errUnknownAgent means that the agent is not in the entry's view.
var errUnknownAgent = errors.New("placement: agent is not in the view")

// agentClient sends requests to agents over links. It implements agents.
type agentClient struct {
	fleet Fleet
	nonce atomic.Uint64

	mu sync.Mutex
	// pending holds a channel for the answer to each pending request, by nonce.
	pending map[uint64]chan link.Message
}

func newAgentClient(fleet Fleet) *agentClient {
	return &agentClient{fleet: fleet, pending: make(map[uint64]chan link.Message)}
}

func (a *agentClient) replicas(service string) []routing.Replica { return a.fleet.Replicas(service) }

// status requests the state of an agent's engine.
func (a *agentClient) status(ctx context.Context, vm string) (*link.Status, error) {
	nonce := a.nonce.Add(1)
	answer, err := a.sendRequest(ctx, vm, nonce, func(*link.Conn) link.Message { return &link.StatusRequest{Nonce: nonce} })
	if err != nil {
		return nil, err
	}
	status, ok := answer.(*link.Status)
	if !ok {
		return nil, errors.Errorf("placement: %s answered with message type %d", vm, answer.Type())
	}
	return status, nil
}

// sendOrder sends an order to an agent and returns whether it accepts it.
func (a *agentClient) sendOrder(ctx context.Context, vm string, order link.Order) (*link.OrderAnswer, error) {
	order.Nonce = a.nonce.Add(1)
	answer, err := a.sendRequest(ctx, vm, order.Nonce, func(c *link.Conn) link.Message {
		order.Stamp = c.Stamp()
		return &order
	})
	if err != nil {
		return nil, err
	}
	orderAnswer, ok := answer.(*link.OrderAnswer)
	if !ok {
		return nil, errors.Errorf("placement: %s answered with message type %d", vm, answer.Type())
	}
	return orderAnswer, nil
}

// sendRequest sends a message and waits for its answer until ctx ends.
func (a *agentClient) sendRequest(ctx context.Context, vm string, nonce uint64, message func(*link.Conn) link.Message) (link.Message, error) {
	addr, known := a.fleet.Address(vm)
	if !known {
		return nil, errors.WithMessage(errUnknownAgent, vm)
	}
	c, err := a.fleet.Connect(ctx, vm, addr)
	if err != nil {
		return nil, err
	}
	answer := a.addPending(nonce)
	defer a.removePending(nonce)
	// A retained link sends heartbeats, which detect a silent peer while the answer is pending.
	c.Retain()
	defer c.Release()
	if err := c.Send(message(c)); err != nil {
		return nil, err
	}
	select {
	case message := <-answer:
		return message, nil
	case <-ctx.Done():
		return nil, errors.Wrapf(ctx.Err(), "placement: %s did not answer", vm)
	}
}

func (a *agentClient) addPending(nonce uint64) <-chan link.Message {
	answer := make(chan link.Message, 1)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pending[nonce] = answer
	return answer
}

func (a *agentClient) removePending(nonce uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.pending, nonce)
}

func (a *agentClient) onMessage(message link.Message) bool {
	switch m := message.(type) {
	case *link.Status:
		a.handleAnswer(m.Nonce, m)
	case *link.OrderAnswer:
		a.handleAnswer(m.Nonce, m)
	default:
		return false
	}
	return true
}

func (a *agentClient) handleAnswer(nonce uint64, message link.Message) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if answer := a.pending[nonce]; answer != nil {
		delete(a.pending, nonce)
		answer <- message
	}
}
