package quota

import (
	"time"

	"acaciacleat.example/core/limits"
	"acaciacleat.example/peers/link"
)

func askMessage(want *limits.GrantRequest) *link.LimitRequest {
	return &link.LimitRequest{
		Service:      want.Key.Service,
		Organisation: want.Key.Organisation,
		Sequence:     want.Sequence,
		Tokens:       want.Tokens,
		Held:         want.Held,
		MoreRequests: want.MoreRequests,
		MoreTokens:   want.MoreTokens,
	}
}

func wantOf(m *link.LimitRequest) limits.GrantRequest {
	return limits.GrantRequest{
		Key:          limits.Key{Service: m.Service, Organisation: m.Organisation},
		Sequence:     m.Sequence,
		Tokens:       m.Tokens,
		Held:         m.Held,
		MoreRequests: m.MoreRequests,
		MoreTokens:   m.MoreTokens,
	}
}

// grantMessage rounds the wait up: a caller sent away for too short is refused again.
func grantMessage(grant *limits.Grant) *link.LimitGrant {
	return &link.LimitGrant{
		Service:      grant.Key.Service,
		Organisation: grant.Key.Organisation,
		Sequence:     grant.Sequence,
		OK:           grant.OK,
		Requests:     grant.Requests,
		Tokens:       grant.Tokens,
		Held:         grant.Held,
		RetryAfterMs: int64((grant.RetryAfter + time.Millisecond - 1) / time.Millisecond),
		Refused:      grant.Refused,
	}
}

func grantOf(m *link.LimitGrant) limits.Grant {
	return limits.Grant{
		Key:        limits.Key{Service: m.Service, Organisation: m.Organisation},
		Sequence:   m.Sequence,
		OK:         m.OK,
		Requests:   m.Requests,
		Tokens:     m.Tokens,
		Held:       m.Held,
		RetryAfter: time.Duration(m.RetryAfterMs) * time.Millisecond,
		Refused:    m.Refused,
	}
}

func hold(want *limits.GrantRequest) link.LimitHold {
	return link.LimitHold{
		Service:      want.Key.Service,
		Organisation: want.Key.Organisation,
		Sequence:     want.Sequence,
		Held:         want.Held,
	}
}
