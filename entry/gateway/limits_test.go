package gateway

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/core/ratelimit"
	"github.com/stretchr/testify/require"
)

// scriptedHolders answers each question with the next reply of its holder; a holder without one
// doesn't reply.
type scriptedHolders struct {
	replies map[string][]ratelimit.Reply
	asked   []string
	within  []int64
	// delay passes before each reply.
	delay func()
}

func (h *scriptedHolders) AskPermit(_ context.Context, vm string, ask ratelimit.Ask) (ratelimit.Reply, bool) {
	h.asked, h.within = append(h.asked, vm), append(h.within, ask.WithinMs)
	if h.delay != nil {
		h.delay()
	}
	left := h.replies[vm]
	if len(left) == 0 {
		return ratelimit.Reply{}, false
	}
	h.replies[vm] = left[1:]
	return left[0], true
}

// Guards against a holder that isn't asked, a wait that isn't the shortest, and a permit that is used
// too late, as after a freeze.
func TestPermitOfAHolder(t *testing.T) {
	denied := func(wait int64) ratelimit.Reply { return ratelimit.Reply{WaitMs: wait} }
	granted := func(wait int64) ratelimit.Reply { return ratelimit.Reply{Granted: true, WaitMs: wait} }
	cases := map[string]struct {
		replies map[string][]ratelimit.Reply
		frozen  time.Duration
		asked   []string
		permit  bool
	}{
		"of the first":        {map[string][]ratelimit.Reply{"a": {granted(0)}}, 0, []string{"a"}, true},
		"of the next":         {map[string][]ratelimit.Reply{"a": {denied(9)}, "b": {granted(0)}}, 0, []string{"a", "b"}, true},
		"of one that answers": {map[string][]ratelimit.Reply{"b": {granted(0)}}, 0, []string{"a", "b"}, true},
		"after the shortest wait": {
			map[string][]ratelimit.Reply{"a": {denied(20)}, "b": {denied(3), granted(3)}}, 0, []string{"a", "b", "b"}, true,
		},
		"taken meanwhile": {map[string][]ratelimit.Reply{"a": {denied(3), denied(90)}}, 0, []string{"a", "b", "a"}, false},
		"too far ahead":   {map[string][]ratelimit.Reply{"a": {denied(500)}, "b": {denied(400)}}, 0, []string{"a", "b"}, false},
		"none":            {nil, 0, []string{"a", "b"}, false},
		"used too late":   {map[string][]ratelimit.Reply{"a": {granted(0)}}, time.Second, []string{"a"}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			holders := &scriptedHolders{replies: c.replies, delay: func() { now = now.Add(c.frozen) }}
			g := New(Config{
				Fleet: dispatch.NewFleet(dispatch.Settings{}), Permits: holders, Metrics: NewMetrics(), Now: func() time.Time { return now },
			})
			e := &exchange{g: g, r: httptest.NewRequest("POST", "/ask", nil)}
			e.acquirePermit(dispatch.Choice{
				Upstream: dispatch.Upstream{ID: "u"},
				Permit:   dispatch.Permit{Holders: []string{"a", "b"}, Limit: ratelimit.Report{Rate: 2}, Within: 100 * time.Millisecond},
			})
			require.Equal(t, c.asked, holders.asked)
			require.Equal(t, c.permit, e.permit.Upstream.ID == "u")
			if len(holders.asked) == 3 {
				require.Equal(t, []int64{0, 0, 100}, holders.within, "the first questions don't book a later permit")
			}
		})
	}
}
