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

// memberTimeout bounds the time in which a group member must confirm a reservation.
const memberTimeout = 2 * time.Second

func newGroupClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DisableKeepAlives:     true,
		ResponseHeaderTimeout: memberTimeout,
	}}
}

// groupReservations holds the open watches on the reservations at the other engines of a group
// request.
type groupReservations struct {
	ctx     context.Context
	release context.CancelFunc
	bodies  []io.ReadCloser
}

// checkGroup checks that each member has reserved its part of the memory. The caller calls release,
// also after a refusal.
func (e *Engine) checkGroup(ctx context.Context, seq *sequence, urls []string) (*groupReservations, *refusal) {
	ctx, cancel := context.WithCancel(ctx)
	group := &groupReservations{ctx: ctx, release: cancel}
	for _, base := range urls {
		body, err := e.checkMember(ctx, base, seq)
		if err != nil {
			return group, err
		}
		group.bodies = append(group.bodies, body)
	}
	return group, nil
}

// checkMember requests the reservation with the request's ID from a member. The response body ends
// when the member ends the reservation or fails.
func (e *Engine) checkMember(ctx context.Context, base string, seq *sequence) (io.ReadCloser, *refusal) {
	address := base + peer.PathReservations + "/" + url.PathEscape(seq.id) +
		"?tokens=" + strconv.FormatInt(seq.memoryTokens, 10)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, invalid("group member %q: %v", base, err)
	}
	response, err := e.groupClient.Do(r)
	if err != nil {
		return nil, memberRefusal(base, err.Error())
	}
	if response.StatusCode != http.StatusOK {
		response.Body.Close()
		return nil, memberRefusal(base, response.Status)
	}
	return response.Body, nil
}

// watch calls lost if a member ends its reservation before release is called.
func (g *groupReservations) watch(lost func()) {
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
