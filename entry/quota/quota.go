// Package quota keeps organisations within their fleet-wide limits at one entry: it
// carries out the decisions of core/limits over links between entries.
//
// Most requests are decided under one short lock and without a message. A request that no
// grant covers waits for the owner's answer, askTimeout at most; an owner that stays
// silent longer is passed over, and the entry goes on with its own share of the limits.
// Nothing here touches the store.
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
	// askTimeout is how long a request waits for an owner. A round trip between zones
	// takes about 3 ms, so that a live owner answers long before; a caller who waits for
	// a dead one hardly notices it.
	askTimeout = 200 * time.Millisecond
	// lineTimeout bounds a request's wait behind other questions about its organisation.
	lineTimeout = time.Second
	// lineRetry is the time after which a request that waited so long may come again.
	lineRetry = 500 * time.Millisecond
	// tickEvery is how often concurrency is given back, as core/limits asks for.
	tickEvery = 100 * time.Millisecond
	// membersEvery is how often the live entries are read from the fleet's view.
	membersEvery = time.Second
	// shardCount keeps requests of different organisations from waiting for one lock.
	shardCount = 16
)

// Link is an open link to another entry. link.Conn implements it.
type Link interface {
	Send(message link.Message) error
	// Refresh proves that the peer answers, unless it did within maxAge.
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
	// Limits returns an organisation's limits in this entry's documents.
	Limits func(key limits.Key) *document.Limits
}

// Counters count what an Enforcer did.
type Counters struct {
	// Asked and Granted are questions to owners and those that were answered; Silent are
	// those that weren't in time.
	Asked, Granted, Silent atomic.Int64
	// Answered are other entries' questions.
	Answered atomic.Int64
	// Refused are requests over a limit.
	Refused atomic.Int64
}

// Map returns the counters by name, for operators.
func (c *Counters) Map() map[string]int64 {
	return map[string]int64{
		"asked":    c.Asked.Load(),
		"granted":  c.Granted.Load(),
		"silent":   c.Silent.Load(),
		"answered": c.Answered.Load(),
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

// members are the live entries, this one among them, in the order of their names.
type members struct {
	names     []string
	addresses map[string]string
}

// shard is the state of a part of the organisations.
type shard struct {
	mu    sync.Mutex
	entry *limits.Entry
	// questions are those that wait for an answer, one at a time for an organisation:
	// each grants a single slot of concurrency, and only the newest answer counts.
	questions map[limits.Key]*question
}

// New returns an Enforcer that knows no other entry until Run.
func New(config Config) *Enforcer {
	e := &Enforcer{config: config}
	// No earlier process of this name can have numbered its messages as high.
	sequence := uint64(time.Now().UnixNano())
	for i := range e.shards {
		e.shards[i].entry = limits.NewEntry(config.Self, sequence)
		e.shards[i].questions = make(map[limits.Key]*question)
	}
	e.members.Store(&members{names: []string{config.Self}})
	return e
}

func (e *Enforcer) shard(key limits.Key) *shard {
	return &e.shards[rendezvous.Hash(key.Organisation)%shardCount]
}

// Admit decides on a request of the given tokens; nil lets it go on, and Release must
// follow at its end. It allocates nothing when no question to an owner is needed and the
// request isn't refused.
func (e *Enforcer) Admit(key limits.Key, bounds *document.Limits, tokens int) *result.Error {
	s := e.shard(key)
	s.mu.Lock()
	verdict := s.entry.Decide(time.Now(), key, bounds, tokens)
	s.mu.Unlock()
	if verdict.Outcome == limits.AskOwner {
		verdict = e.askUntilDecided(s, key, bounds, tokens)
	}
	if verdict.Outcome == limits.Admitted {
		return nil
	}
	e.Counters.Refused.Add(1)
	return &result.Error{
		Code:       result.OrganisationLimit,
		Execution:  result.NotRun,
		Detail:     key.Organisation,
		RetryAfter: verdict.RetryAfter,
	}
}

// Release takes the end of a request that was admitted under these limits.
func (e *Enforcer) Release(key limits.Key, bounds *document.Limits) {
	s := e.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entry.Release(key, bounds)
}

// Owner returns the entry that owns an organisation's limits.
func (e *Enforcer) Owner(key limits.Key) string {
	s := e.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entry.Owner(key)
}

// Members is the number of live entries that take part, this one included.
func (e *Enforcer) Members() int { return len(e.members.Load().names) }

// Run keeps the live entries up to date and gives concurrency back until ctx ends.
func (e *Enforcer) Run(ctx context.Context) {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	read := time.NewTicker(membersEvery)
	defer read.Stop()
	e.readMembers()
	for {
		select {
		case <-ctx.Done():
			return
		case <-read.C:
			e.readMembers()
		case <-tick.C:
			e.tick(ctx)
		}
	}
}

// readMembers hands changed members on. Unchanged ones are not, for each change makes
// every account look for its owner anew.
func (e *Enforcer) readMembers() {
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

// tick sends each owner what this entry holds.
func (e *Enforcer) tick(ctx context.Context) {
	holds := make(map[string][]link.LimitHold)
	now := time.Now()
	for i := range e.shards {
		s := &e.shards[i]
		s.mu.Lock()
		renewals := s.entry.Tick(now)
		s.mu.Unlock()
		for _, renewal := range renewals {
			holds[renewal.Owner] = append(holds[renewal.Owner], hold(&renewal.Request))
		}
	}
	for owner, list := range holds {
		go e.renew(ctx, owner, list)
	}
}

// holdsPerMessage keeps a renewal within a frame.
const holdsPerMessage = 1000

func (e *Enforcer) renew(ctx context.Context, owner string, list []link.LimitHold) {
	c, err := e.connect(ctx, owner)
	if err != nil {
		return
	}
	for part := range slices.Chunk(list, holdsPerMessage) {
		_ = c.Send(&link.LimitRenew{Holds: part})
	}
}

func (e *Enforcer) connect(ctx context.Context, owner string) (Link, error) {
	addr, known := e.members.Load().addresses[owner]
	if !known {
		return nil, errors.Errorf("quota: %s is no live entry", owner)
	}
	return e.config.Connect(ctx, owner, addr)
}
