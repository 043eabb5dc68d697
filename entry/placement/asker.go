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
var errUnknownAgent = errors.New("placement: no such agent")

// asker asks agents over links. It implements agents.
type asker struct {
	fleet Fleet
	nonce atomic.Uint64

	mu sync.Mutex
	// waiting are the questions that are not answered yet, by nonce.
	waiting map[uint64]chan link.Message
}

func newAsker(fleet Fleet) *asker {
	return &asker{fleet: fleet, waiting: make(map[uint64]chan link.Message)}
}

func (a *asker) replicas(service string) []routing.Replica { return a.fleet.Replicas(service) }

// status asks an agent what its engine serves.
func (a *asker) status(ctx context.Context, vm string) (*link.Status, error) {
	nonce := a.nonce.Add(1)
	answer, err := a.ask(ctx, vm, nonce, func(*link.Conn) link.Message { return &link.StatusRequest{Nonce: nonce} })
	if err != nil {
		return nil, err
	}
	status, ok := answer.(*link.Status)
	if !ok {
		return nil, errors.Errorf("placement: %s answered with type %d", vm, answer.Type())
	}
	return status, nil
}

// give gives an agent an order and returns whether it obeys.
func (a *asker) give(ctx context.Context, vm string, order link.Order) (*link.OrderAnswer, error) {
	order.Nonce = a.nonce.Add(1)
	answer, err := a.ask(ctx, vm, order.Nonce, func(c *link.Conn) link.Message {
		order.Stamp = c.Stamp()
		return &order
	})
	if err != nil {
		return nil, err
	}
	taken, ok := answer.(*link.OrderAnswer)
	if !ok {
		return nil, errors.Errorf("placement: %s answered with type %d", vm, answer.Type())
	}
	return taken, nil
}

// ask sends a question and waits for its answer until ctx ends.
func (a *asker) ask(ctx context.Context, vm string, nonce uint64, question func(*link.Conn) link.Message) (link.Message, error) {
	addr, known := a.fleet.Address(vm)
	if !known {
		return nil, errors.WithMessage(errUnknownAgent, vm)
	}
	c, err := a.fleet.Connect(ctx, vm, addr)
	if err != nil {
		return nil, err
	}
	answer := a.expect(nonce)
	defer a.drop(nonce)
	// Heartbeats find out that the link is silent while the answer is awaited.
	c.Retain()
	defer c.Release()
	if err := c.Send(question(c)); err != nil {
		return nil, err
	}
	select {
	case message := <-answer:
		return message, nil
	case <-ctx.Done():
		return nil, errors.Wrapf(ctx.Err(), "placement: %s did not answer", vm)
	}
}

func (a *asker) expect(nonce uint64) <-chan link.Message {
	answer := make(chan link.Message, 1)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting[nonce] = answer
	return answer
}

func (a *asker) drop(nonce uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.waiting, nonce)
}

func (a *asker) onMessage(message link.Message) bool {
	switch m := message.(type) {
	case *link.Status:
		a.answered(m.Nonce, m)
	case *link.OrderAnswer:
		a.answered(m.Nonce, m)
	default:
		return false
	}
	return true
}

func (a *asker) answered(nonce uint64, message link.Message) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if answer := a.waiting[nonce]; answer != nil {
		delete(a.waiting, nonce)
		answer <- message
	}
}
