// Package directory keeps an entry's routes and upstreams up to date from the platform's
// feeds, and keeps using the last known state while the platform is unavailable.
package directory

import (
	"cmp"
	"context"
	"sync/atomic"
	"time"

	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/core/evacuation"
	"acaciacleat.example/core/follow"
	"acaciacleat.example/core/routes"
	"acaciacleat.example/core/standstill"
	"acaciacleat.example/peers/link"
	"acaciacleat.example/peers/table"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
)

// RoutesUpdate is the result of reading the routes from a source.
type RoutesUpdate struct {
	// Value is the newest encoded routing table, or nil if nothing changed.
	Value []byte
	// Revision is the revision of the row that holds Value.
	Revision uint64
	// Evacuations lists every evacuated zone if everything was read, otherwise the changes since the
	// last read.
	Evacuations []evacuation.Change
	// Faults are the errors of requests to evacuate a zone that could not be read.
	Faults []error
	// Extent says how far the update reaches.
	Extent table.Extent
}

// UpstreamsUpdate is the result of reading the upstreams from a source.
type UpstreamsUpdate struct {
	// Changes lists every registered upstream if everything was read, otherwise the changes
	// since the last read.
	Changes []dispatch.Change
	// Faults are the errors of registrations that could not be decoded, by their keys.
	Faults map[string]error
	// Corrections are the errors of registrations with a value that doesn't count as it is, by their keys.
	Corrections map[string]error
	// Extent says how far the update reaches.
	Extent table.Extent
}

// Source reads routes and upstreams. A call with after zero reads everything; any other call
// waits up to wait for a change.
type Source interface {
	Routes(ctx context.Context, after uint64, wait time.Duration) (RoutesUpdate, error)
	Upstreams(ctx context.Context, after uint64, wait time.Duration) (UpstreamsUpdate, error)
	// Decode builds a routing table from its encoding. Version reads only its version.
	Decode(value []byte) (*routes.Table, error)
	Version(value []byte) (uint64, error)
}

// Config configures a Keeper.
type Config struct {
	Source Source
	// Wait is how long one read waits for a change.
	Wait time.Duration
	// Upstreams applies the changes of upstreams.
	Upstreams Upstreams
	// Evacuations, if not nil, receives the evacuated zones.
	Evacuations Evacuations
	// OnRoutesApplied, if not nil, is called after this entry has applied a routing table that other
	// entries may not have yet. otherZones is true if the table was read from the source, in which case
	// entries of other zones may not have it either.
	OnRoutesApplied func(otherZones bool)
	// OnTable, if not nil, is called with each routing table right before it is active.
	OnTable func(table *routes.Table)
	// Role returns the role of this entry for the feeds, and Forward sends an update that the entry
	// has read to the entries of its zone or to all. Both are nil for an entry that runs alone.
	Role    func() follow.Role
	Forward func(update *link.FeedUpdate, allZones bool)
	// Ask asks another entry for the state of a feed; it reports false if there is none to ask.
	// SendState sends the state of a feed to an entry. Both may be nil.
	Ask       func(feed link.Feed) bool
	SendState func(vm string, state *link.FeedUpdate)
	Log       zerolog.Logger
}

// Upstreams applies the state of upstreams. gateway.Upstreams implements it.
type Upstreams interface {
	// Apply applies changes; complete says that they list every upstream.
	Apply(now time.Time, changes []dispatch.Change, complete bool)
	// RegistryUnavailable records that the source did not answer this entry. Removals that follow an outage are
	// delayed.
	RegistryUnavailable()
	// RegistryAnswered records that the source has answered this entry, or another one that reads it.
	// RegistryReturned records that it has answered another one whose reads had failed.
	RegistryAnswered(now time.Time)
	RegistryReturned(now time.Time)
}

// Evacuations receives the evacuated zones. evacuation.Keeper implements it.
type Evacuations interface {
	// Read applies what this entry has read between two positions; if from is zero, changes lists all
	// evacuated zones. ReadFailed records that it could not read.
	Read(now time.Time, changes []evacuation.Change, from, to uint64)
	ReadFailed()
	// ReceiveUpdate applies what another entry has read.
	ReceiveUpdate(now time.Time, entry string, changes []evacuation.Change)
	// RecordFaults records the requests to evacuate a zone that could not be read.
	RecordFaults(now time.Time, faults []error)
	// Known reports whether all evacuated zones were known at some time.
	Known() bool
}

// noEvacuations ignores evacuated zones.
type noEvacuations struct{}

func (noEvacuations) Read(time.Time, []evacuation.Change, uint64, uint64)  {}
func (noEvacuations) ReadFailed()                                          {}
func (noEvacuations) ReceiveUpdate(time.Time, string, []evacuation.Change) {}
func (noEvacuations) RecordFaults(time.Time, []error)                      {}
func (noEvacuations) Known() bool                                          { return true }

// Keeper maintains the routing table and the upstreams of one entry. Its methods other than Run, which
// is called once, may be called from any goroutine.
type Keeper struct {
	config Config
	table  atomic.Pointer[routes.Table]
	value  atomic.Pointer[[]byte]
	// upstreamsRead says that the upstreams were read at least once.
	upstreamsRead atomic.Bool
	// routesRevision is the revision of the row that was last read and taken up; zero if it is unknown. The lock of the routes' feed
	// guards it.
	routesRevision uint64
	// received queues the routing tables that are to be applied.
	received chan receivedRoutes
	// queued is the number of routing tables in received or being applied.
	queued        atomic.Int64
	routes        *feed
	upstreams     *feed
	registrations registrations
	unreadable    unreadable
	standstills   *standstill.Detector
	currency      currency
	confirmation  confirmation
	// inForceSince is when the active routing table was applied, newest the newest version that the entry has heard of from
	// anyone.
	inForceSince atomic.Pointer[time.Time]
	newest       atomic.Uint64
	// superseded is the routing table that was active before; nil if there was none.
	superseded atomic.Pointer[routes.Superseded]
	// missing is the newest version that others have had and for which the feeds were read at once.
	missing atomic.Uint64
	// notApplied counts the routing tables that have arrived and were not applied, by reason.
	notApplied [rejections]atomic.Uint64
	// corrections counts the values in registrations that don't count as they are.
	corrections atomic.Uint64
}

// receivedRoutes is an encoded routing table that has not been applied yet, with its origin.
type receivedRoutes struct {
	value []byte
	from  origin
	// receivedAt is when the complete routing table had arrived.
	receivedAt time.Time
}

// origin says where a routing table came from; it is logged.
type origin string

const (
	// fromStore is this entry's own read of the source.
	fromStore origin = "store"
	// fromEntry is a follower that forwards its updates to all entries of its zone.
	fromEntry origin = "entry"
	// fromFetch is another entry from which this one requested the routing table.
	fromFetch origin = "fetched"
)

// New returns a Keeper; Run starts it.
func New(config Config) *Keeper {
	if config.Role == nil {
		config.Role = func() follow.Role { return follow.Standalone }
	}
	if config.Forward == nil {
		config.Forward = func(*link.FeedUpdate, bool) {}
	}
	if config.Evacuations == nil {
		config.Evacuations = noEvacuations{}
	}
	k := &Keeper{config: config, received: make(chan receivedRoutes, 8), registrations: make(registrations), standstills: standstill.New(time.Now())}
	k.confirmation.limiter = rate.NewLimiter(confirmRate, confirmBurst)
	k.routes = k.newFeed(link.FeedRoutes, k.readRoutes, k.applyRoutes)
	k.routes.applyProven = k.applyEvacuations
	k.routes.appliedVersion, k.routes.outgoing, k.routes.wholeState = k.version, k.outgoingRoutes, k.wholeRoutes
	k.upstreams = k.newFeed(link.FeedUpstreams, k.readUpstreams, k.applyUpstreams)
	k.upstreams.outgoing, k.upstreams.wholeState = k.outgoingUpstreams, k.wholeUpstreams
	return k
}

// Table returns the active routing table, or nil if there is none yet.
func (k *Keeper) Table() *routes.Table { return k.table.Load() }

// version returns the version of the active routing table, or zero if there is none yet.
func (k *Keeper) version() uint64 {
	if table := k.Table(); table != nil {
		return table.Version()
	}
	return 0
}

// Value returns the encoding of the active routing table, or nil.
func (k *Keeper) Value() []byte {
	if value := k.value.Load(); value != nil {
		return *value
	}
	return nil
}

// Ready reports whether routes, upstreams and evacuated zones are known.
func (k *Keeper) Ready() bool {
	return k.Table() != nil && k.upstreamsRead.Load() && k.config.Evacuations.Known()
}

// EnqueueRoutes queues an encoded routing table that is active at another entry. It never blocks,
// and reports false if the queue is full.
func (k *Keeper) EnqueueRoutes(value []byte) bool {
	return k.enqueue(receivedRoutes{value, fromFetch, time.Now()})
}

// enqueue reports whether the routing table was queued.
func (k *Keeper) enqueue(r receivedRoutes) bool {
	k.queued.Add(1)
	select {
	case k.received <- r:
		return true
	default:
		k.queued.Add(-1)
		k.rejectRoutes(&r, 0, queueFull, nil)
		return false
	}
}

// Run follows the source until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	go k.routes.run(ctx)
	go k.upstreams.run(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-k.received:
			k.applyReceived(r)
			k.queued.Add(-1)
			k.routes.afterApplied()
			k.currency.notify()
		}
	}
}

// applyReceived activates a routing table if it is newer than the active one. An older one may arrive
// late from another entry or from a slow read of the store; applying it would revert a
// configuration that callers have already seen.
func (k *Keeper) applyReceived(r receivedRoutes) {
	version, err := k.config.Source.Version(r.value)
	if err == nil && version <= k.version() {
		k.rejectOld(&r, version) // Several entries offer the same routing table; decoding a large one again is slow.
		return
	}
	k.HeardOf(version)
	next, err := k.config.Source.Decode(r.value)
	if err != nil {
		k.rejectRoutes(&r, version, undecodable, err)
		return
	}
	if next.Version() <= k.version() {
		k.rejectOld(&r, next.Version())
		return
	}
	if k.config.OnTable != nil {
		k.config.OnTable(next)
	}
	now := time.Now()
	changes := k.supersede(next)
	k.value.Store(&r.value)
	k.inForceSince.Store(&now)
	k.table.Store(next)
	k.HeardOf(next.Version())
	listChanges(k.config.Log.Info(), &changes).Uint64("version", next.Version()).Str("from", string(r.from)).
		Int("routes", next.Len()).Int("bytes", len(r.value)).Int64("took_ms", time.Since(r.receivedAt).Milliseconds()).
		Msg("routes in force")
	k.routes.wake() // The feed may wait for this routing table.
	if k.config.OnRoutesApplied != nil && r.from != fromEntry {
		k.config.OnRoutesApplied(r.from == fromStore)
	}
}

// HandleUpdate handles a feed update that another entry has forwarded.
func (k *Keeper) HandleUpdate(from string, update *link.FeedUpdate) {
	switch update.Feed {
	case link.FeedRoutes:
		if !update.ReadFailed {
			// Evacuations don't wait for routes that are omitted or can't be applied.
			k.config.Evacuations.ReceiveUpdate(time.Now(), from, update.Evacuations)
		}
		k.routes.handleUpdate(time.Now(), from, update)
	case link.FeedUpstreams:
		now := time.Now()
		k.noteRegistry(now, update)
		k.upstreams.handleUpdate(now, from, update)
	default:
		k.config.Log.Warn().Str("entry", from).Uint8("feed", uint8(update.Feed)).Msg("news of a feed that isn't known")
	}
}

// noteRegistry records what another entry's update says of the source, which it does also if it tells of no
// changes. A complete state doesn't say whether the source answers now.
func (k *Keeper) noteRegistry(now time.Time, update *link.FeedUpdate) {
	switch {
	case update.ReadFailed, update.Complete:
	case update.Recovered:
		k.config.Upstreams.RegistryReturned(now)
	default:
		k.config.Upstreams.RegistryAnswered(now)
	}
}

// DropFollower records that the link to another entry has ended.
func (k *Keeper) DropFollower(entry string) {
	k.routes.dropFollower(entry)
	k.upstreams.dropFollower(entry)
}

// ListeningFeeds returns the number of feeds that other entries read for this one.
func (k *Keeper) ListeningFeeds() int {
	n := 0
	for _, f := range []*feed{k.routes, k.upstreams} {
		if f.listening.Load() {
			n++
		}
	}
	return n
}

// Age returns how long ago the entry last knew that its copy of a feed had missed nothing: when it had read the feed, or
// was told by others that had. It is negative if it never did.
func (k *Keeper) Age(now time.Time, feed link.Feed) time.Duration {
	return k.feedOf(feed).age(now)
}

// feedOf returns one of the two feeds.
func (k *Keeper) feedOf(name link.Feed) *feed {
	if name == link.FeedRoutes {
		return k.routes
	}
	return k.upstreams
}

// Reads returns the number of this entry's own reads of the feeds. A read of a whole table counts once.
func (k *Keeper) Reads() uint64 { return k.routes.reads.Load() + k.upstreams.reads.Load() }

// ReadsFailed returns the number of this entry's own reads of a feed that have failed.
func (k *Keeper) ReadsFailed(feed link.Feed) uint64 {
	return k.feedOf(feed).readsFailed.Load()
}

// maxRoutesBytes is the size up to which a routing table is part of the forwarded update. Each
// follower would send a larger one to all entries of its zone at once, so they fetch it instead.
const maxRoutesBytes = 32 << 10

// outgoingRoutes returns the update to forward: of a routing table larger than maxRoutesBytes only the version.
func (k *Keeper) outgoingRoutes(b *batch) *link.FeedUpdate {
	outgoing := b.outgoing()
	k.omitLarge(outgoing)
	return outgoing
}

// omitLarge replaces a routing table larger than maxRoutesBytes by its version.
func (k *Keeper) omitLarge(update *link.FeedUpdate) {
	if len(update.Routes) <= maxRoutesBytes {
		return
	}
	version, err := k.config.Source.Version(update.Routes)
	if err != nil {
		k.config.Log.Warn().Err(err).Msg("the version of routes could not be read; listeners read them themselves")
	}
	update.OmitRoutes(version)
}

func (k *Keeper) readRoutes(ctx context.Context, after follow.Position, wait time.Duration) (*batch, error) {
	got, err := k.config.Source.Routes(ctx, uint64(after), wait)
	switch {
	case err == nil:
		k.config.Evacuations.RecordFaults(time.Now(), got.Faults)
	case ctx.Err() == nil && !errors.Is(err, table.ErrHistoryTruncated):
		k.config.Evacuations.ReadFailed()
	}
	update := &link.FeedUpdate{Routes: got.Value, Evacuations: got.Evacuations}
	return &batch{FeedUpdate: update, extent: got.Extent, routesRevision: got.Revision}, err
}

// applyEvacuations applies the evacuations of an answer to a read from a position. What it proves reaches to the second
// position.
func (k *Keeper) applyEvacuations(now time.Time, b *batch, from, to follow.Position) {
	k.config.Evacuations.Read(now, b.Evacuations, uint64(from), uint64(to))
}

func (k *Keeper) applyRoutes(now time.Time, b *batch) bool {
	if len(b.Routes) == 0 {
		return true
	}
	known := k.routesRevision
	older := b.routesRevision < known && !b.whole() // A page that was asked for once more.
	if b.routesRevision > 0 && (b.routesRevision == known || older) {
		if b.routesRevision <= b.From {
			b.Routes = nil // Other entries have them, too.
		}
		return true
	}
	if !k.enqueue(receivedRoutes{b.Routes, b.origin, now}) {
		return false
	}
	if b.origin == fromStore {
		b.news = append(b.news, b.routesRevision)
		b.lacksRoutes, k.routesRevision = known > 0, b.routesRevision
	}
	return true
}

func (k *Keeper) readUpstreams(ctx context.Context, after follow.Position, wait time.Duration) (*batch, error) {
	got, err := k.config.Source.Upstreams(ctx, uint64(after), wait)
	if err == nil {
		k.config.Upstreams.RegistryAnswered(time.Now())
	} else if ctx.Err() == nil && !errors.Is(err, table.ErrHistoryTruncated) {
		k.config.Upstreams.RegistryUnavailable()
	}
	update := &link.FeedUpdate{Changes: got.Changes}
	return &batch{FeedUpdate: update, extent: got.Extent, faults: got.Faults, corrections: got.Corrections}, err
}

func (k *Keeper) applyUpstreams(now time.Time, b *batch) bool {
	if b.origin == fromEntry {
		if err := b.UnpackColdTimes(); err != nil {
			k.config.Log.Warn().Err(err).Msg("the cold times in another entry's update can't be read")
		}
	}
	changes, whole := b.Changes, b.whole()
	news := k.registrations.news(changes)
	if !whole {
		changes = news
	}
	if b.origin == fromStore {
		b.noteNews(k.registrations, news)
		if !whole {
			b.dropKnown(news)
		} else if k.upstreamsRead.Load() {
			b.lacked = append(news, k.registrations.unlisted(changes, b.To)...)
		}
	}
	k.registrations.apply(changes, whole)
	fresh := k.unreadable.apply(changes, whole)
	if b.origin == fromStore {
		logUnreadable(&k.config.Log, fresh, b.faults)
		k.logCorrections(changes, b.corrections)
	}
	k.config.Upstreams.Apply(now, changes, whole)
	k.upstreamsRead.Store(true)
	return true
}

// outgoingUpstreams returns the update to forward, with the cold times of its changes.
func (k *Keeper) outgoingUpstreams(b *batch) *link.FeedUpdate {
	outgoing := b.outgoing()
	if err := outgoing.PackColdTimes(); err != nil {
		k.config.Log.Error().Err(err).Msg("the cold times of an update could not be packed")
	}
	return outgoing
}

// logCorrections logs the first of several changes with a value that was corrected.
func (k *Keeper) logCorrections(changes []dispatch.Change, corrections map[string]error) {
	var first error
	entries := 0
	for i := range changes {
		if err := corrections[changes[i].ID]; err != nil {
			entries++
			first = cmp.Or(first, err)
		}
	}
	if entries == 0 {
		return
	}
	k.corrections.Add(uint64(entries))
	k.config.Log.Warn().Err(first).Int("entries", entries).Msg("registrations with a value that was corrected")
}

// Corrections returns the number of values in registrations that didn't count as they were.
func (k *Keeper) Corrections() uint64 { return k.corrections.Load() }
