// Package quota enforces the fleet-wide limits of organisations at one entry. It performs the
// decisions of core/limits over links between entries.
//
// Most requests are decided under one short lock and without a message. A request that no
// grant covers waits at most grantTimeout for the owner's answer. If the owner does not answer
// in time, the entry uses its local share of the limits. The package does not use the store.
package quota

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"acaciacleat.example/core/document"
	"acaciacleat.example/core/limits"
	"acaciacleat.example/core/rendezvous"
	"acaciacleat.example/core/result"
	"acaciacleat.example/entry/fleet"
	"acaciacleat.example/peers/link"
	"github.com/pkg/errors"
)

const (
	// grantTimeout is how long a request waits for an owner. A round trip between zones takes
	// about 3 ms, so a live owner answers long before, and the wait for a dead one delays the
	// caller only a little.
	grantTimeout = 200 * time.Millisecond
	// pendingTimeout bounds the time that a caller's request waits for pending grant requests of
	// its organisation.
	pendingTimeout = time.Second
	// pendingRetryAfter is the RetryAfter of a request that is refused after pendingTimeout.
	pendingRetryAfter = 500 * time.Millisecond
	// tickInterval is the time between two reports to the owners; see limits.Entry.Tick.
	tickInterval = 100 * time.Millisecond
	// membersInterval is the time between two reads of the live entries.
	membersInterval = time.Second
	// shardCount is the number of shards. Each has its own lock, so that few organisations share
	// one.
	shardCount = 16
)

// Link is an open link to another entry. link.Conn implements it.
type Link interface {
	Send(message link.Message) error
	// Refresh checks that the peer answers, unless it did so within maxAge.
	Refresh(ctx context.Context, maxAge time.Duration) error
	Close(reason error)
}

// Config configures an Enforcer.
type Config struct {
	// Self is this entry's VM.
	Self string
	// Entries returns the other live entries.
	Entries func() []fleet.Entry
	// Connect returns an open link to an entry.
	Connect func(ctx context.Context, vm, addr string) (Link, error)
	// Limits returns an organisation's limits according to this entry's documents.
	Limits func(key limits.Key) *document.Limits
}

// Counters count what an Enforcer did.
type Counters struct {
	// Asked counts the grant requests to owners, AnswersReceived the answers to them, including
	// those that grant nothing, and Silent the requests without an answer in time.
	Asked, AnswersReceived, Silent atomic.Int64
	// AnswersSent counts the answers to grant requests of other entries.
	AnswersSent atomic.Int64
	// Refused counts the requests over a limit.
	Refused atomic.Int64
}

// Map returns the counters by name.
func (c *Counters) Map() map[string]int64 {
	return map[string]int64{
		"asked":    c.Asked.Load(),
		"granted":  c.AnswersReceived.Load(),
		"silent":   c.Silent.Load(),
		"answered": c.AnswersSent.Load(),
		"refused":  c.Refused.Load(),
	}
}

// Enforcer decides on requests. It is safe for concurrent use.
type Enforcer struct {
	Counters Counters

	config  Config
	shards  [shardCount]shard
	members atomic.Pointer[members]
}

// members are the live entries, including this one, sorted by name.
type members struct {
	names     []string
	addresses map[string]string
}

// shard holds the state of a part of the organisations.
type shard struct {
	mu    sync.Mutex
	entry *limits.Entry
	// pending holds the grant requests without an answer. There is at most one for each
	// organisation of a service, because the answer to each grants a single slot of concurrency
	// and only the newest answer counts.
	pending map[limits.Key]*pendingRequest
}

// New returns an Enforcer that knows no other entry until Run.
func New(config Config) *Enforcer {
	e := &Enforcer{config: config}
	// The time is higher than any sequence number of an earlier process of this name.
	sequence := uint64(time.Now().UnixNano())
	for i := range e.shards {
		e.shards[i].entry = limits.NewEntry(config.Self, sequence)
		e.shards[i].pending = make(map[limits.Key]*pendingRequest)
	}
	e.members.Store(&members{names: []string{config.Self}})
	return e
}

func (e *Enforcer) shard(key limits.Key) *shard {
	return &e.shards[rendezvous.Hash(key.Organisation)%shardCount]
}

// Admit decides on a request of the given tokens. It returns nil if the request is admitted;
// Release must then be called at its end. It does not allocate if the request is admitted
// without a grant request to an owner.
func (e *Enforcer) Admit(key limits.Key, orgLimits *document.Limits, tokens int) *result.Error {
	s := e.shard(key)
	s.mu.Lock()
	decision := s.entry.Decide(time.Now(), key, orgLimits, tokens)
	s.mu.Unlock()
	if decision.Outcome == limits.AskOwner {
		decision = e.requestUntilDecided(s, key, orgLimits, tokens)
	}
	if decision.Outcome == limits.Admitted {
		return nil
	}
	e.Counters.Refused.Add(1)
	return &result.Error{
		Code:       result.OrganisationLimit,
		Execution:  result.NotRun,
		Detail:     key.Organisation,
		RetryAfter: decision.RetryAfter,
	}
}

// Release records the end of a request that was admitted under these limits.
func (e *Enforcer) Release(key limits.Key, orgLimits *document.Limits) {
	s := e.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entry.Release(key, orgLimits)
}

// Owner returns the entry that owns an organisation's limits.
func (e *Enforcer) Owner(key limits.Key) string {
	s := e.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entry.Owner(key)
}

// Members returns the number of live entries, including this one.
func (e *Enforcer) Members() int { return len(e.members.Load().names) }

// Run updates the live entries, and reports the concurrency held and released to the owners,
// until ctx ends.
func (e *Enforcer) Run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	read := time.NewTicker(membersInterval)
	defer read.Stop()
	e.updateMembers()
	for {
		select {
		case <-ctx.Done():
			return
		case <-read.C:
			e.updateMembers()
		case <-tick.C:
			e.tick(ctx)
		}
	}
}

// updateMembers reads the live entries and sets them in all shards if they have changed. It
// leaves the shards alone otherwise, because each call makes every account determine its owner
// again.
func (e *Enforcer) updateMembers() {
	next := &members{names: []string{e.config.Self}, addresses: make(map[string]string)}
	for _, entry := range e.config.Entries() {
		next.names = append(next.names, entry.ID)
		next.addresses[entry.ID] = entry.Link
	}
	slices.Sort(next.names)
	last := e.members.Swap(next)
	if slices.Equal(last.names, next.names) {
		return
	}
	for i := range e.shards {
		s := &e.shards[i]
		s.mu.Lock()
		s.entry.SetEntries(next.names)
		s.mu.Unlock()
	}
}

// tick reports to each owner the concurrency that this entry still holds. What has been released
// since the last report thus becomes available to other entries.
func (e *Enforcer) tick(ctx context.Context) {
	holds := make(map[string][]link.LimitHold)
	now := time.Now()
	for i := range e.shards {
		s := &e.shards[i]
		s.mu.Lock()
		renewals := s.entry.Tick(now)
		s.mu.Unlock()
		for _, renewal := range renewals {
			holds[renewal.Owner] = append(holds[renewal.Owner], holdMessage(&renewal.Request))
		}
	}
	for owner, list := range holds {
		go e.sendRenewals(ctx, owner, list)
	}
}

// maxHoldsPerMessage bounds a renewal so that it fits into a frame.
const maxHoldsPerMessage = 1000

func (e *Enforcer) sendRenewals(ctx context.Context, owner string, list []link.LimitHold) {
	c, err := e.connect(ctx, owner)
	if err != nil {
		return
	}
	for part := range slices.Chunk(list, maxHoldsPerMessage) {
		_ = c.Send(&link.LimitRenew{Holds: part})
	}
}

func (e *Enforcer) connect(ctx context.Context, owner string) (Link, error) {
	addr, known := e.members.Load().addresses[owner]
	if !known {
		return nil, errors.Errorf("quota: %s is not a live entry", owner)
	}
	return e.config.Connect(ctx, owner, addr)
}
