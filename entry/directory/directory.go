// Package directory keeps what an entry knows of routes and upstreams up to date from the
// platform's feeds, and goes on with what is known while the platform is away.
package directory

import (
	"context"
	"sync/atomic"
	"time"

	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/core/follow"
	"acaciacleat.example/core/routes"
	"acaciacleat.example/peers/link"
	"acaciacleat.example/peers/table"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// RoutesNews is what a source knows of the routes.
type RoutesNews struct {
	// Value is the newest encoded table, or nil where nothing changed.
	Value []byte
	// Cursor is where to go on from.
	Cursor uint64
}

// UpstreamsNews is what a source knows of upstreams.
type UpstreamsNews struct {
	// Changes lists every upstream that there is where everything was read.
	Changes []dispatch.Change
	// Faults are registrations that could not be decoded.
	Faults []error
	Cursor uint64
}

// Source is where news come from. A call with after zero reads everything; another waits
// for a change, at the longest for wait.
type Source interface {
	Routes(ctx context.Context, after uint64, wait time.Duration) (RoutesNews, error)
	Upstreams(ctx context.Context, after uint64, wait time.Duration) (UpstreamsNews, error)
	// Decode builds the table of routes from an encoded one, Version reads its version alone.
	Decode(value []byte) (*routes.Table, error)
	Version(value []byte) (uint64, error)
}

// Config configures a Keeper.
type Config struct {
	Source Source
	// Wait is how long one call waits for a change.
	Wait time.Duration
	// Upstreams takes the changes of upstreams.
	Upstreams Upstreams
	// Changed, if not nil, is told when a table came into force that others may lack: far says that
	// it was read from the source, so that other zones may.
	Changed func(far bool)
	// Role tells what this entry does for the others' knowledge of the feeds, and Tell passes
	// on what it reads; both nil for an entry that has no others.
	Role func() follow.Role
	Tell func(news *link.FeedUpdate)
	Log  zerolog.Logger
}

// Upstreams takes what is known of upstreams; dispatch.Fleet implements it.
type Upstreams interface {
	// Apply takes changes; whole says that they list every upstream.
	Apply(now time.Time, changes []dispatch.Change, whole bool)
	// SourceLost tells that the source did not answer.
	SourceLost(now time.Time)
}

// Keeper keeps the tables of one entry. Table may be called from any goroutine.
type Keeper struct {
	config Config
	table  atomic.Pointer[routes.Table]
	value  atomic.Pointer[[]byte]
	// listed says that the upstreams were read once.
	listed    atomic.Bool
	offers    chan offer
	routes    *feed
	upstreams *feed
	// faults counts the entries that could not be decoded since faultsTold.
	faults     int
	faultsTold time.Time
}

// offer is an encoded table of routes with where it comes from.
type offer struct {
	value []byte
	from  origin
	// since is when the whole table had arrived.
	since time.Time
}

// origin tells where a table of routes comes from.
type origin string

// The origins.
const (
	fromStore origin = "store"
	// fromEntry is from an entry that follows the store, which tells all entries of its zone.
	fromEntry origin = "entry"
	// fetched is from an entry that was asked.
	fetched origin = "fetched"
)

// New returns a Keeper; Run starts it.
func New(config Config) *Keeper {
	if config.Role == nil {
		config.Role = func() follow.Role { return follow.Standalone }
	}
	if config.Tell == nil {
		config.Tell = func(*link.FeedUpdate) {}
	}
	k := &Keeper{config: config, offers: make(chan offer, 8)}
	k.routes = k.newFeed(link.FeedRoutes, k.readRoutes, k.applyRoutes)
	k.routes.inForce, k.routes.outgoing = k.version, k.outgoingRoutes
	k.upstreams = k.newFeed(link.FeedUpstreams, k.readUpstreams, k.applyUpstreams)
	return k
}

// Table returns the table in force, or nil while none is known.
func (k *Keeper) Table() *routes.Table { return k.table.Load() }

// version returns that of the table in force; zero while none is known.
func (k *Keeper) version() uint64 {
	if table := k.Table(); table != nil {
		return table.Version()
	}
	return 0
}

// Value returns the encoded table in force, or nil.
func (k *Keeper) Value() []byte {
	if value := k.value.Load(); value != nil {
		return *value
	}
	return nil
}

// Ready reports whether routes and upstreams are known.
func (k *Keeper) Ready() bool { return k.Table() != nil && k.listed.Load() }

// Offer takes an encoded table that another entry has in force. It never blocks, and reports false
// where the queue is full.
func (k *Keeper) Offer(value []byte) bool { return k.offer(offer{value, fetched, time.Now()}) }

// offer reports whether the table was taken up.
func (k *Keeper) offer(o offer) bool {
	select {
	case k.offers <- o:
		return true
	default:
		k.config.Log.Warn().Str("from", string(o.from)).Msg("routes dropped: queue full")
		return false
	}
}

// Run follows the source until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	go k.routes.follow(ctx)
	go k.upstreams.follow(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-k.offers:
			k.take(o)
		}
	}
}

// take puts a table in force if it is newer than the one that is. An older one may come
// late from another entry or from a store's answer that was under way: it would undo what
// callers have already seen.
func (k *Keeper) take(o offer) {
	version, err := k.config.Source.Version(o.value)
	if err == nil && version <= k.version() {
		return // Whoever is first brings a table; decoding a large one again takes long.
	}
	next, err := k.config.Source.Decode(o.value)
	if err != nil {
		k.config.Log.Error().Err(err).Str("from", string(o.from)).Msg("routes could not be decoded; the last ones stay in force")
		return
	}
	if next.Version() <= k.version() {
		return
	}
	k.value.Store(&o.value)
	k.table.Store(next)
	k.config.Log.Info().Uint64("version", next.Version()).Str("from", string(o.from)).
		Int("routes", next.Len()).Int("bytes", len(o.value)).Int64("took_ms", time.Since(o.since).Milliseconds()).
		Msg("routes in force")
	k.routes.wake() // It may have waited for this table.
	if k.config.Changed != nil && o.from != fromEntry {
		k.config.Changed(o.from == fromStore)
	}
}

// Heard takes what another entry has read of a feed.
func (k *Keeper) Heard(from string, news *link.FeedUpdate) {
	switch news.Feed {
	case link.FeedRoutes:
		k.routes.heard(time.Now(), from, news)
	case link.FeedUpstreams:
		k.upstreams.heard(time.Now(), from, news)
	default:
		k.config.Log.Warn().Str("entry", from).Uint8("feed", uint8(news.Feed)).Msg("news of a feed that isn't known")
	}
}

// Gone tells that the link to another entry has ended.
func (k *Keeper) Gone(entry string) {
	k.routes.gone(entry)
	k.upstreams.gone(entry)
}

// Listening returns the number of feeds that others read for this entry.
func (k *Keeper) Listening() int {
	n := 0
	for _, f := range []*feed{k.routes, k.upstreams} {
		if f.listening.Load() {
			n++
		}
	}
	return n
}

// ReadsFailed returns how many of this entry's own reads of a feed have failed.
func (k *Keeper) ReadsFailed(feed link.Feed) uint64 {
	if feed == link.FeedRoutes {
		return k.routes.readsFailed.Load()
	}
	return k.upstreams.readsFailed.Load()
}

// mostRoutes is the size in bytes up to which a table of routes is sent along with the news of
// it. A larger one would go to all entries of a zone from each follower at once; they fetch it.
const mostRoutes = 32 << 10

// outgoingRoutes returns news of the routes as they are passed on.
func (k *Keeper) outgoingRoutes(news *link.FeedUpdate) *link.FeedUpdate {
	told := changesOnly(news)
	if len(told.Routes) > mostRoutes {
		version, err := k.config.Source.Version(told.Routes)
		if err != nil {
			k.config.Log.Warn().Err(err).Msg("the version of routes could not be read; listeners read them themselves")
		}
		told.OmitRoutes(version)
	}
	return told
}

func (k *Keeper) readRoutes(ctx context.Context, after follow.Position, wait time.Duration) (*link.FeedUpdate, error) {
	got, err := k.config.Source.Routes(ctx, uint64(after), wait)
	return &link.FeedUpdate{To: got.Cursor, Routes: got.Value}, err
}

func (k *Keeper) applyRoutes(now time.Time, news *link.FeedUpdate, from origin) bool {
	return len(news.Routes) == 0 || k.offer(offer{news.Routes, from, now})
}

func (k *Keeper) readUpstreams(ctx context.Context, after follow.Position, wait time.Duration) (*link.FeedUpdate, error) {
	got, err := k.config.Source.Upstreams(ctx, uint64(after), wait)
	if err == nil {
		k.tellFaults(time.Now(), got.Faults)
	} else if ctx.Err() == nil && !errors.Is(err, table.ErrHistoryTruncated) {
		k.config.Upstreams.SourceLost(time.Now())
	}
	return &link.FeedUpdate{To: got.Cursor, Changes: got.Changes}, err
}

func (k *Keeper) applyUpstreams(now time.Time, news *link.FeedUpdate, from origin) bool {
	if from == fromEntry && news.Recovered {
		// Registrations lapse while the store is away: what vanishes now is doubted here too.
		k.config.Upstreams.SourceLost(now)
	}
	k.config.Upstreams.Apply(now, news.Changes, from == fromStore && news.From == 0)
	k.listed.Store(true)
	return true
}

// faultsEvery is the least time between two lines on entries that can't be decoded: whoever
// leaves many, or the same again and again, must not fill the log.
const faultsEvery = 5 * time.Second

// tellFaults logs that entries of the registry could not be decoded, in one line with their
// number since the last one. Only the goroutine that follows upstreams calls it.
func (k *Keeper) tellFaults(now time.Time, faults []error) {
	if len(faults) == 0 {
		return
	}
	k.faults += len(faults)
	if now.Sub(k.faultsTold) < faultsEvery {
		return
	}
	k.config.Log.Error().Err(faults[0]).Int("entries", k.faults).
		Msg("registrations that could not be decoded; they name no upstream to use")
	k.faults, k.faultsTold = 0, now
}
