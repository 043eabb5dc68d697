// Package orders executes orders at one engine. The orders come from the entry that holds
// the placement lease of the service. The package also reports to that entry what the engine
// serves, its error rate and its time to first token.
//
// Two entries may give orders at the same time: a lease holder that was paused may continue
// after its lease has expired. Replicas would then switch back and forth between versions.
// Three checks prevent the execution of a former holder's orders:
//
//   - An order with a fencing number below the highest one seen is refused. An agent that
//     has just started has seen none. It reads the lease's row before it executes any order,
//     and refuses all orders until it has read the row.
//   - An order carries a stamp of the agent's clock and is refused if it does not start soon
//     after that time. An order that was delayed in a paused process or in transit is thus
//     refused even if the agent has not seen a newer holder's number.
//   - A running order is cancelled at its timeout.
//
// The engine may check the fencing number as well. If it does not, an order that has reached
// the engine continues there when this agent dies or cancels it. After a restart the agent does
// not know of that order. A newer order may reach the engine while it still executes the old
// one; which version it serves in the end then depends on the engine. The entry sees what is
// served and corrects it in a later round. Until then the replica serves a version or model that
// is not wanted, and loading it has used bandwidth of the weight store. Orders that others send
// to an engine directly, not through its agent, are not checked at all.
package orders

import (
	"context"
	"sync"
	"time"

	"acaciacleat.example/core/lease"
	"acaciacleat.example/peers/engine"
	"acaciacleat.example/peers/link"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// Reasons for refusing an order, besides those of lease.Guard.
var (
	// ErrExpired means that the order was not started in time.
	ErrExpired = errors.New("orders: not begun in time")
	// ErrBusy means that the engine is executing another order.
	ErrBusy = errors.New("orders: another order is under way")
)

// readTimeout bounds the read of the lease's row.
const readTimeout = 2 * time.Second

// Config configures an Executor.
type Config struct {
	Engine engine.Engine
	// ReadFence returns the fencing number in the lease's row.
	ReadFence func(ctx context.Context) (uint64, error)
	Log       zerolog.Logger
}

// Executor executes the orders for one engine, one at a time. It is safe for concurrent
// use.
type Executor struct {
	config Config

	mu      sync.Mutex
	guard   lease.Guard
	current *engine.Order
	lastErr error
	stats   engineStats
}

// New returns an Executor that has not seen any fencing number.
func New(config Config) *Executor { return &Executor{config: config} }

// OnMessage handles orders and requests for the status. clock is as for Accept.
func (x *Executor) OnMessage(c *link.Conn, clock func() int64, message link.Message) {
	switch m := message.(type) {
	case *link.StatusRequest:
		status := x.Status(time.Now())
		status.Nonce = m.Nonce
		_ = c.Send(status)
	case *link.Order:
		go x.onOrder(c, clock, m)
	}
}

func (x *Executor) onOrder(c *link.Conn, clock func() int64, order *link.Order) {
	answer := &link.OrderAnswer{Nonce: order.Nonce, OK: true}
	if err := x.Accept(context.Background(), clock, order); err != nil {
		answer.OK = false
		answer.Detail = err.Error()
		x.config.Log.Warn().Err(err).Str("kind", order.Kind).Uint64("fence", order.Fence).Msg("order refused")
	}
	_ = c.Send(answer)
}

// Accept starts an order, or returns why it is refused. An order that is already running is
// accepted without being started again. clock returns the agent's time in nanoseconds, on
// the clock from which order.Stamp was read.
func (x *Executor) Accept(ctx context.Context, clock func() int64, order *link.Order) error {
	if err := x.checkFence(ctx, order.Fence); err != nil {
		return err
	}
	// The age is taken after the check, because reading the row may have taken long.
	if age := clock() - order.Stamp; age > order.StartWithinMs*int64(time.Millisecond) {
		return errors.WithMessagef(ErrExpired, "%v old", time.Duration(age))
	}
	return x.start(order)
}

// checkFence asks the guard whether an order with this fencing number may be executed. It first
// reads the lease's row if the agent has not read it since its start.
func (x *Executor) checkFence(ctx context.Context, orderFence uint64) error {
	err := x.checkSeenFence(orderFence)
	if !errors.Is(err, lease.ErrNotRead) {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	fence, readErr := x.config.ReadFence(ctx)
	if readErr != nil {
		return errors.WithMessage(err, readErr.Error())
	}
	x.mu.Lock()
	x.guard.ObserveRow(fence)
	x.mu.Unlock()
	return x.checkSeenFence(orderFence)
}

// checkSeenFence compares an order's fencing number with those seen so far, without reading the
// lease's row.
func (x *Executor) checkSeenFence(orderFence uint64) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.guard.Check(orderFence)
}

// start starts an order whose fencing number and age were checked, unless another one runs.
func (x *Executor) start(order *link.Order) error {
	requested := toEngine(order)
	x.mu.Lock()
	defer x.mu.Unlock()
	// A newer holder's order may have been checked since the first check of this one.
	if err := x.guard.Check(order.Fence); err != nil {
		return err
	}
	if x.current != nil {
		if sameTarget(x.current, &requested) {
			return nil
		}
		return ErrBusy
	}
	x.current = &requested
	go x.execute(requested, time.Duration(order.CompleteWithinMs)*time.Millisecond)
	return nil
}

func sameTarget(a, b *engine.Order) bool {
	return a.Kind == b.Kind && a.Name == b.Name && a.Version == b.Version
}

func toEngine(order *link.Order) engine.Order {
	requested := engine.Order{Kind: engine.OrderKind(order.Kind), Fence: order.Fence}
	switch requested.Kind {
	case engine.OrderLoadAdapter:
		requested.Name = order.Adapter
	case engine.OrderRole:
		requested.Name = order.Role
	default:
		requested.Name = order.Model
		requested.Version = order.Version
	}
	return requested
}

// execute sends an order to the engine and waits until it is done or the timeout has passed.
func (x *Executor) execute(order engine.Order, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	err := x.config.Engine.Order(ctx, order)
	x.mu.Lock()
	x.current = nil
	x.lastErr = err
	x.mu.Unlock()
	x.config.Log.Info().Err(err).Str("kind", string(order.Kind)).Str("name", order.Name).
		Str("version", order.Version).Uint64("fence", order.Fence).Msg("order ended")
}
