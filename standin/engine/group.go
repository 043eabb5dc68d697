package engine

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	peer "acaciacleat.example/peers/engine"
)

// memberTimeout bounds how long a group member may take to confirm a reservation.
const memberTimeout = 2 * time.Second

func newGroupClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DisableKeepAlives:     true,
		ResponseHeaderTimeout: memberTimeout,
	}}
}

// heldGroup is the hold on the other engines of a group request.
type heldGroup struct {
	ctx    context.Context
	leave  context.CancelFunc
	bodies []io.ReadCloser
}

// holdGroup checks that each member has reserved its part of the memory. The caller calls
// leave, also after a refusal.
func (e *Engine) holdGroup(ctx context.Context, seq *sequence, urls []string) (*heldGroup, *refusal) {
	ctx, cancel := context.WithCancel(ctx)
	held := &heldGroup{ctx: ctx, leave: cancel}
	for _, base := range urls {
		body, err := e.holdMember(ctx, base, seq)
		if err != nil {
			return held, err
		}
		held.bodies = append(held.bodies, body)
	}
	return held, nil
}

// holdMember asks a member for the reservation under the request's id. The answer's body
// ends when the member ends the reservation or is gone.
func (e *Engine) holdMember(ctx context.Context, base string, seq *sequence) (io.ReadCloser, *refusal) {
	address := base + peer.PathReservations + "/" + url.PathEscape(seq.id) +
		"?tokens=" + strconv.FormatInt(seq.need, 10)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, invalid("group member %q: %v", base, err)
	}
	response, err := e.group.Do(r)
	if err != nil {
		return nil, memberRefusal(base, err.Error())
	}
	if response.StatusCode != http.StatusOK {
		response.Body.Close()
		return nil, memberRefusal(base, response.Status)
	}
	return response.Body, nil
}

// watch calls lost when a member ends its reservation before leave is called.
func (g *heldGroup) watch(lost func()) {
	for _, body := range g.bodies {
		go func() {
			defer body.Close()
			_, _ = io.Copy(io.Discard, body)
			if g.ctx.Err() == nil {
				lost()
			}
		}()
	}
}

func memberRefusal(base, reason string) *refusal {
	message := "group member " + base + " holds no memory for the request: " + reason
	return &refusal{http.StatusInsufficientStorage, peer.TypeMemory, message}
}
