package quota

import (
	"time"

	"acaciacleat.example/core/limits"
	"acaciacleat.example/peers/link"
)

func requestMessage(request *limits.GrantRequest) *link.LimitRequest {
	return &link.LimitRequest{
		Service:      request.Key.Service,
		Organisation: request.Key.Organisation,
		Sequence:     request.Sequence,
		Tokens:       request.Tokens,
		Held:         request.Held,
		MoreRequests: request.MoreRequests,
		MoreTokens:   request.MoreTokens,
	}
}

func requestOf(m *link.LimitRequest) limits.GrantRequest {
	return limits.GrantRequest{
		Key:          limits.Key{Service: m.Service, Organisation: m.Organisation},
		Sequence:     m.Sequence,
		Tokens:       m.Tokens,
		Held:         m.Held,
		MoreRequests: m.MoreRequests,
		MoreTokens:   m.MoreTokens,
	}
}

// grantMessage rounds RetryAfter up, because a caller that retries too early is refused again.
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

func holdMessage(request *limits.GrantRequest) link.LimitHold {
	return link.LimitHold{
		Service:      request.Key.Service,
		Organisation: request.Key.Organisation,
		Sequence:     request.Sequence,
		Held:         request.Held,
	}
}
