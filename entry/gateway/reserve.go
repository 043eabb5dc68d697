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

// Reserver creates the calls that reserve an engine's memory for a part of a prompt.
type Reserver interface {
	// Reserve reserves memory for the helper's tokens under its ticket until hold has passed,
	// or renews the ticket.
	Reserve(upstream dispatch.Upstream, helper dispatch.Helper, hold time.Duration) service.Call
	// Release frees the memory reserved under a ticket.
	Release(upstream dispatch.Upstream, ticket string) service.Call
	// Probe creates a call that any engine answers at once and that changes nothing.
	Probe(upstream dispatch.Upstream) service.Call
}

// Reserved memory must be freed soon after the request has ended or the entry that reserved it
// has died. Tickets therefore have a short lifetime and are renewed while the request lasts. If
// the entry dies, its tickets expire.
const (
	// ticketTTL is below the four seconds within which memory must be free again after the
	// request that used it.
	ticketTTL = 3500 * time.Millisecond
	// renewInterval leaves time for one renewal to fail.
	renewInterval = 1200 * time.Millisecond
	// controlTimeout bounds one call to an engine; engines respond between the steps of a pass.
	controlTimeout = 300 * time.Millisecond
	// maxReleaseTries is how often a release is sent if it gets no answer.
	maxReleaseTries = 3
)

// controlRefused means that an engine answered a control call but didn't carry it out.
type controlRefused struct {
	upstream string
	status   int
}

// Error implements error.
func (e *controlRefused) Error() string {
	return fmt.Sprintf("%s answered %d: memory not reserved", e.upstream, e.status)
}

// reservation is the memory that one attempt has reserved at its helpers.
type reservation struct {
	g       *Gateway
	helpers []dispatch.Helper
	// clients are the clients of the helpers' incarnations, releaseClients ends their use.
	clients        []*client
	releaseClients []func()
	stop           chan struct{}
	renewing       sync.WaitGroup
}

// reserve reserves all tickets of a choice or none. If it fails, it returns the upstream whose
// reservation failed.
func (g *Gateway) reserve(ctx context.Context, choice dispatch.Choice) (*reservation, dispatch.Upstream, error) {
	r := &reservation{g: g, stop: make(chan struct{})}
	for _, helper := range choice.Helpers {
		if helper.Tokens > 0 {
			r.helpers = append(r.helpers, helper)
			client, release := g.config.Clients.acquire(helper.Upstream)
			r.clients = append(r.clients, client)
			r.releaseClients = append(r.releaseClients, release)
		}
	}
	failures := make([]error, len(r.helpers))
	var all sync.WaitGroup
	for i, helper := range r.helpers {
		all.Go(func() {
			failures[i] = g.control(ctx, helper.Upstream, g.config.Reserver.Reserve(helper.Upstream, helper, ticketTTL))
		})
	}
	all.Wait()
	for i, err := range failures {
		if err != nil {
			// A control call that failed may still be carried out late, so its ticket is
			// released too.
			g.releasing.Go(r.releaseAll)
			return nil, r.helpers[i].Upstream, err
		}
	}
	r.renewing.Go(r.renew)
	return r, dispatch.Upstream{}, nil
}

// probeTimeout bounds a probe, at several times what a healthy engine takes. An upstream that
// has not answered by then may be busy and is assumed to be healthy.
const probeTimeout = 60 * time.Millisecond

// probeAll probes all upstreams of a choice. It reports false if any of them is proved to have
// ended, and records the proof for each of these, or if one takes no requests any more.
//
// If a fifth of the engines fail at once, every choice of a dozen engines includes some of the
// failed ones, and a refusal names only one. Without the probe, a prompt uses up all its retries
// before half of the failed engines are known.
func (g *Gateway) probeAll(ctx context.Context, choice dispatch.Choice) bool {
	upstreams := []dispatch.Upstream{choice.Upstream}
	for _, helper := range choice.Helpers {
		upstreams = append(upstreams, helper.Upstream)
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	sentAt := g.config.Now()
	var anyEnded atomic.Bool
	var all sync.WaitGroup
	for _, upstream := range upstreams {
		all.Go(func() {
			if _, objects := g.config.Fleet.Objection(sentAt, sentAt, upstream); objects {
				anyEnded.Store(true)
				return
			}
			err := g.control(ctx, upstream, g.config.Reserver.Probe(upstream))
			if outcome := controlOutcome(err); outcome != dispatch.Abandoned {
				g.config.Fleet.Observe(g.config.Now(), upstream, outcome, sentAt)
				anyEnded.Store(true)
			}
		})
	}
	all.Wait()
	return !anyEnded.Load()
}

// controlOutcome returns Misdirected if the error of a control call proves that another upstream
// has the address, Unreached if it proves that nothing listens there, and Abandoned otherwise.
func controlOutcome(err error) dispatch.Outcome {
	var refused *controlRefused
	switch {
	case errors.As(err, &refused) && refused.status == http.StatusMisdirectedRequest:
		return dispatch.Misdirected
	case err != nil && refused == nil && transportOutcome(err) == dispatch.Unreached:
		return dispatch.Unreached
	default:
		return dispatch.Abandoned
	}
}

// control sends one control call. An engine that can't carry it out answers with an error status.
func (g *Gateway) control(ctx context.Context, upstream dispatch.Upstream, call service.Call) error {
	call.TimeLeft = controlTimeout
	if g.config.Fleet.RateLimit(upstream) > 0 {
		g.config.Metrics.sentToLimited(roleControl, 1)
	}
	sentAt := g.config.Now()
	g.countControlAgainst(sentAt, upstream)
	client, release := g.config.Clients.acquire(upstream)
	defer release()
	answer, err := client.http.Do(ctx, call)
	if err != nil {
		return errors.WithMessage(err, "order")
	}
	defer answer.Body.Close()
	now := g.config.Now()
	meta := g.config.Dialect.Answer(answer.Header)
	g.observeLimit(now, upstream, answer.Status, dispatch.LimitAnswer{Statement: meta.Limit, SentAt: sentAt, ReceivedAt: now})
	g.observeStatements(now, upstream, answer.Status, meta)
	if err := discardAnswer(answer.Body); err != nil {
		return errors.WithMessage(err, "order")
	}
	if answer.Status != http.StatusOK {
		return &controlRefused{upstream: upstream.ID, status: answer.Status}
	}
	return nil
}

// maxControlBytes bounds the answer to a control call.
const maxControlBytes = 64 << 10

// errLongControlAnswer is the error of an answer to a control call that is larger than maxControlBytes.
var errLongControlAnswer = errors.Errorf("the answer has more than %d bytes", maxControlBytes)

// discardAnswer reads the body of the answer to a control call to its end, so that the connection can be used
// again.
func discardAnswer(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxControlBytes+1))
	if err == nil && n > maxControlBytes {
		return errLongControlAnswer
	}
	return err
}

// renew renews the tickets while the attempt lasts.
func (r *reservation) renew() {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.stop:
			return
		case <-ticker.C:
		}
		for i, helper := range r.helpers {
			if r.clients[i].ctx.Err() != nil {
				continue // Its next incarnation would reserve memory that no request uses.
			}
			call := r.g.config.Reserver.Reserve(helper.Upstream, helper, ticketTTL)
			if err := r.g.control(context.Background(), helper.Upstream, call); err != nil {
				r.g.config.Log.Warn().Err(err).Str("upstream", helper.Upstream.ID).Str("ticket", helper.Reservation).
					Msg("reserved memory was not renewed; the next renewal may still come in time")
			}
		}
	}
}

// release releases the memory asynchronously. Gateway.Wait waits for it.
func (r *reservation) release() {
	close(r.stop)
	r.g.releasing.Go(func() {
		// A renewal in flight would reserve the memory again after its release.
		r.renewing.Wait()
		r.releaseAll()
	})
}

// releaseAll releases the tickets of all helpers at once and waits for the answers.
func (r *reservation) releaseAll() {
	var all sync.WaitGroup
	for _, helper := range r.helpers {
		all.Go(func() { r.g.releaseTicket(helper) })
	}
	all.Wait()
	for _, release := range r.releaseClients {
		release()
	}
}

// releaseTicket releases a helper's ticket. It tries again if the call gets no answer.
func (g *Gateway) releaseTicket(helper dispatch.Helper) {
	var err error
	for range maxReleaseTries {
		err = g.control(context.Background(), helper.Upstream, g.config.Reserver.Release(helper.Upstream, helper.Reservation))
		var refused *controlRefused
		if err == nil || errors.As(err, &refused) {
			return // The ticket is released, or is no longer known there.
		}
	}
	g.config.Log.Warn().Err(err).Str("upstream", helper.Upstream.ID).Str("ticket", helper.Reservation).
		Msg("reserved memory was not released; it expires by itself")
}

// Wait waits until all reserved memory has been released or ctx is done.
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
