package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/peers/service"
	"github.com/pkg/errors"
)

// Reserver makes the calls that reserve an engine's memory for a part of a prompt.
type Reserver interface {
	// Reserve reserves tokens under a ticket until hold has passed, or renews the ticket.
	Reserve(upstream dispatch.Upstream, helper dispatch.Helper, hold time.Duration) service.Call
	Release(upstream dispatch.Upstream, ticket string) service.Call
	// Ask makes a call that any engine answers at once, and that changes nothing.
	Ask(upstream dispatch.Upstream) service.Call
}

// Memory that an entry has reserved must not outlive it for long, nor a request whose
// entry has forgotten it: the hold is short and renewed while the request lasts. An entry
// that dies leaves its tickets to expire.
const (
	// holdFor is under the four seconds in which memory must be free again after the
	// request that used it.
	holdFor = 3500 * time.Millisecond
	// renewEvery leaves time for one renewal to fail.
	renewEvery = 1200 * time.Millisecond
	// orderTimeout bounds one order: engines answer between two passes' steps.
	orderTimeout = 300 * time.Millisecond
	// releaseTries is how often a release is sent that got no answer.
	releaseTries = 3
)

// orderRefused means that an engine answered an order and did not carry it out.
type orderRefused struct {
	upstream string
	status   int
}

// Error implements error.
func (e *orderRefused) Error() string {
	return fmt.Sprintf("%s answered %d: memory not reserved", e.upstream, e.status)
}

// reservation is the memory that one attempt holds at its helpers.
type reservation struct {
	g       *Gateway
	helpers []dispatch.Helper
	// clients are those of the helpers' incarnations.
	clients []*client
	stop    chan struct{}
	renewed sync.WaitGroup
}

// reserve reserves all tickets of a choice or none. It returns the upstream that refused.
func (g *Gateway) reserve(ctx context.Context, choice dispatch.Choice) (*reservation, dispatch.Upstream, error) {
	r := &reservation{g: g, stop: make(chan struct{})}
	for _, helper := range choice.Helpers {
		if helper.Tokens > 0 {
			r.helpers = append(r.helpers, helper)
			r.clients = append(r.clients, g.config.Clients.of(helper.Upstream))
		}
	}
	failures := make([]error, len(r.helpers))
	var all sync.WaitGroup
	for i, helper := range r.helpers {
		all.Go(func() {
			failures[i] = g.order(ctx, helper.Upstream, g.config.Reserver.Reserve(helper.Upstream, helper, holdFor))
		})
	}
	all.Wait()
	for i, err := range failures {
		if err != nil {
			// The order may be carried out late: release what was not granted too.
			g.releasing.Go(r.giveBack)
			return nil, r.helpers[i].Upstream, err
		}
	}
	r.renewed.Go(r.renew)
	return r, dispatch.Upstream{}, nil
}

// askTimeout bounds the asking: some times what a sound engine takes. Who has not answered by then
// may be busy, and is taken for sound.
const askTimeout = 60 * time.Millisecond

// allServe asks all upstreams of a choice whether they are there; it reports false where it is
// proved that one isn't. What was found is held against each of those.
//
// What goes wrong without it: a fifth of the engines goes at once; each set of a dozen holds some
// of them, and each refusal names one only. The prompt and all its retries are spent before
// half of them are known.
func (g *Gateway) allServe(ctx context.Context, choice dispatch.Choice) bool {
	upstreams := []dispatch.Upstream{choice.Upstream}
	for _, helper := range choice.Helpers {
		upstreams = append(upstreams, helper.Upstream)
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	asked := g.config.Now()
	var gone atomic.Bool
	var all sync.WaitGroup
	for _, upstream := range upstreams {
		all.Go(func() {
			err := g.order(ctx, upstream, g.config.Reserver.Ask(upstream))
			if outcome := goneBy(err); outcome != dispatch.Abandoned {
				g.config.Fleet.Observe(g.config.Now(), upstream, outcome, asked)
				gone.Store(true)
			}
		})
	}
	all.Wait()
	return !gone.Load()
}

// goneBy returns what the end of an order proves of an upstream: that nobody is there, that another
// one is, or nothing.
func goneBy(err error) dispatch.Outcome {
	var refused *orderRefused
	switch {
	case errors.As(err, &refused) && refused.status == http.StatusMisdirectedRequest:
		return dispatch.Misdirected
	case err != nil && refused == nil && unanswered(err) == dispatch.Unreached:
		return dispatch.Unreached
	default:
		return dispatch.Abandoned
	}
}

// order makes one order; an engine that can't carry it out answers with an error status.
func (g *Gateway) order(ctx context.Context, upstream dispatch.Upstream, call service.Call) error {
	call.TimeLeft = orderTimeout
	answer, err := g.config.Clients.Of(upstream).Do(ctx, call)
	if err != nil {
		return errors.WithMessage(err, "order")
	}
	defer answer.Body.Close()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return errors.WithMessage(err, "order")
	}
	if answer.Status != http.StatusOK {
		return &orderRefused{upstream: upstream.ID, status: answer.Status}
	}
	return nil
}

// renew keeps the tickets while the attempt lasts.
func (r *reservation) renew() {
	ticker := time.NewTicker(renewEvery)
	defer ticker.Stop()
	for {
		select {
		case <-r.stop:
			return
		case <-ticker.C:
		}
		for i, helper := range r.helpers {
			if r.clients[i].life.Err() != nil {
				continue // Its next life would set memory aside that no request uses.
			}
			call := r.g.config.Reserver.Reserve(helper.Upstream, helper, holdFor)
			if err := r.g.order(context.Background(), helper.Upstream, call); err != nil {
				r.g.config.Log.Warn().Err(err).Str("upstream", helper.Upstream.ID).Str("ticket", helper.Reservation).
					Msg("reserved memory was not renewed; the next renewal may still come in time")
			}
		}
	}
}

// release gives the memory back without waiting for it; Gateway.Wait does.
func (r *reservation) release() {
	close(r.stop)
	r.g.releasing.Go(func() {
		// A renewal under way would reserve again what was released before it.
		r.renewed.Wait()
		r.giveBack()
	})
}

func (r *reservation) giveBack() {
	var all sync.WaitGroup
	for _, helper := range r.helpers {
		all.Go(func() { r.g.releaseTicket(helper) })
	}
	all.Wait()
}

func (g *Gateway) releaseTicket(helper dispatch.Helper) {
	var err error
	for range releaseTries {
		err = g.order(context.Background(), helper.Upstream, g.config.Reserver.Release(helper.Upstream, helper.Reservation))
		var refused *orderRefused
		if err == nil || errors.As(err, &refused) {
			return // Released, or not known there any more.
		}
	}
	g.config.Log.Warn().Err(err).Str("upstream", helper.Upstream.ID).Str("ticket", helper.Reservation).
		Msg("reserved memory was not released; it expires by itself")
}

// Wait waits until all reserved memory was given back or ctx ends.
func (g *Gateway) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.releasing.Wait()
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
