// Package orders carries out, beside one engine, the orders of the entry that places its
// service's models, and tells that entry what the engine serves and how well.
//
// Two holders of the lease may give orders: one was paused, its lease lapsed, and it acts
// as if it still held it. One would notice it by replicas that go back and forth between
// versions. Three checks keep the former holder's orders from being obeyed:
//
//   - an order with a lower fencing number than the highest seen is refused. An agent that
//     has just started has seen none; it reads the lease's row before it obeys any order,
//     and refuses all while the row can't be read;
//   - an order that isn't begun soon after the agent's clock showed the stamp it carries is
//     refused, so that one that was held up in a paused process or on the way is not
//     obeyed, even where no newer holder has been heard of;
//   - an order under way is given up at its end of life.
//
// The engine may check the number as well. What is left where it ignores numbers: an order
// that reached the engine goes on there when this agent dies or gives it up. The next
// agent does not know of it, and a newer order may come to the engine while the old one is
// still loading; which of the two is served in the end is the engine's choice. The entry
// sees what is served and corrects it in a later round; until then the replica serves a
// version or model that isn't wanted, and its load has used the weight store's rate
// besides. And who gives an engine orders past its agent is not checked at all.
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

// Refusals besides those of lease.Guard.
var (
	// ErrExpired means that the order was not begun in its time.
	ErrExpired = errors.New("orders: not begun in time")
	// ErrBusy means that the engine is carrying out another order.
	ErrBusy = errors.New("orders: another order is under way")
)

// readTimeout bounds reading the lease's row.
const readTimeout = 2 * time.Second

// Config configures an Executor.
type Config struct {
	Engine engine.Engine
	// ReadFence returns the fencing number in the lease's row.
	ReadFence func(ctx context.Context) (uint64, error)
	Log       zerolog.Logger
}

// Executor carries out the orders to one engine, one at a time. It is safe for
// concurrent use.
type Executor struct {
	config Config

	mu      sync.Mutex
	guard   lease.Guard
	current *engine.Order
	lastErr error
	book    book
}

// New returns an Executor that has seen no fencing number.
func New(config Config) *Executor { return &Executor{config: config} }

// OnMessage takes orders and questions for the status.
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
	if err := x.Take(context.Background(), clock, order); err != nil {
		answer.OK = false
		answer.Detail = err.Error()
		x.config.Log.Warn().Err(err).Str("kind", order.Kind).Uint64("fence", order.Fence).Msg("order refused")
	}
	_ = c.Send(answer)
}

// Take begins an order, or returns why it is refused. An order that is under way already
// is not begun a second time. clock is the one that order.Stamp was read from.
func (x *Executor) Take(ctx context.Context, clock func() int64, order *link.Order) error {
	if err := x.check(ctx, order.Fence); err != nil {
		return err
	}
	// After the check, for reading the row may have taken long.
	if age := clock() - order.Stamp; age > order.StartWithinMs*int64(time.Millisecond) {
		return errors.WithMessagef(ErrExpired, "%v old", time.Duration(age))
	}
	return x.begin(order)
}

// check asks the guard, and reads the row if that has not been done since the start.
func (x *Executor) check(ctx context.Context, fence uint64) error {
	err := x.checkSeen(fence)
	if !errors.Is(err, lease.ErrNotRead) {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	row, readErr := x.config.ReadFence(ctx)
	if readErr != nil {
		return errors.WithMessage(err, readErr.Error())
	}
	x.mu.Lock()
	x.guard.ObserveRow(row)
	x.mu.Unlock()
	return x.checkSeen(fence)
}

func (x *Executor) checkSeen(fence uint64) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.guard.Check(fence)
}

func (x *Executor) begin(order *link.Order) error {
	wanted := toEngine(order)
	x.mu.Lock()
	defer x.mu.Unlock()
	// A newer holder's order may have been checked since this one was.
	if err := x.guard.Check(order.Fence); err != nil {
		return err
	}
	if x.current != nil {
		if same(x.current, &wanted) {
			return nil
		}
		return ErrBusy
	}
	x.current = &wanted
	go x.carryOut(wanted, time.Duration(order.CompleteWithinMs)*time.Millisecond)
	return nil
}

func same(a, b *engine.Order) bool {
	return a.Kind == b.Kind && a.Name == b.Name && a.Version == b.Version
}

func toEngine(order *link.Order) engine.Order {
	wanted := engine.Order{Kind: engine.OrderKind(order.Kind), Fence: order.Fence}
	switch wanted.Kind {
	case engine.OrderLoadAdapter:
		wanted.Name = order.Adapter
	case engine.OrderRole:
		wanted.Name = order.Role
	default:
		wanted.Name = order.Model
		wanted.Version = order.Version
	}
	return wanted
}

// carryOut gives an order to the engine and waits until it is done or its life ends.
func (x *Executor) carryOut(order engine.Order, life time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), life)
	defer cancel()
	err := x.config.Engine.Order(ctx, order)
	x.mu.Lock()
	x.current = nil
	x.lastErr = err
	x.mu.Unlock()
	x.config.Log.Info().Err(err).Str("kind", string(order.Kind)).Str("name", order.Name).
		Str("version", order.Version).Uint64("fence", order.Fence).Msg("order ended")
}
