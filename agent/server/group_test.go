package server

import (
	"testing"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/reservation"
	"acaciacleat.example/peers/link"
	"github.com/stretchr/testify/require"
)

// Guards against a call that names an engine whose memory only an earlier attempt of its group had reserved.
func TestSecondAttemptOfAGroupNamesOnlyItsOwnMembers(t *testing.T) {
	s := startServer(t, nil)
	offer := offerOf(call.ID{1}, s, true)
	offer.PromptTokens = 2 * assumedCapacity
	offer.Group = []link.GroupMember{{Agent: "a"}, {Agent: "b"}, {Agent: "c"}}
	g := &groupCall{
		server: s, call: newCall(offer, time.Now()), reservationAttempt: offer.Attempt * attemptStride,
		addresses: make(map[string]string), upstreams: make(map[string]string), events: make(chan groupEvent, groupEventBuffer),
	}
	for _, tried := range []string{"a", "b"} {
		members := g.members()
		group, _ := reservation.NewGroup(members, time.Now().Add(time.Minute))
		for _, member := range members {
			if member.Agent != s.config.VM {
				g.handleEvent(group, groupEvent{agent: member.Agent, operation: reservation.DoReserve, attempt: g.reservationAttempt, ok: true, upstream: "http://" + member.Agent})
			}
		}
		require.Contains(t, g.upstreams, tried)
		require.Len(t, g.upstreams, len(members)-1)
		g.reservationAttempt++
	}
}
