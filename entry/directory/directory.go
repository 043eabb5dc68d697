// Package directory keeps what an entry knows of routes and upstreams up to date from the
// platform's feeds, and goes on with what is known while the platform is away.
package directory

import (
	"context"
	"sync/atomic"
	"time"

	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/core/routes"
	"acaciacleat.example/peers/pause"
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
	// Whole says that Changes lists every upstream that there is.
	Whole   bool
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
	// Decode builds the table of routes from an encoded one.
	Decode(value []byte) (*routes.Table, error)
}

// Config configures a Keeper.
type Config struct {
	Source Source
	// Wait is how long one call waits for a change.
	Wait time.Duration
	// Upstreams takes the changes of upstreams.
	Upstreams Upstreams
	// Changed, if not nil, is told each encoded table that came into force.
	Changed func(value []byte)
	Log     zerolog.Logger
}

// Upstreams takes what is known of upstreams; dispatch.Fleet implements it.
type Upstreams interface {
	// Apply takes changes; whole says that they list every upstream.
	Apply(now time.Time, changes []dispatch.Change, whole bool)
	// SourceLost tells that the source did not answer.
	SourceLost(now time.Time)
}

// The pauses before a failed call is made again: short at first, since a configuration
// must be in force within seconds, and bounded, so that an outage isn't fed.
const (
	firstPause = 50 * time.Millisecond
	lastPause  = 400 * time.Millisecond
	// settle is the pause after news: changes come in series (51 upstreams register within
	// 2.5 s at a start), and each answered call is priced. In a series it doubles up to
	// lastSettle, which is far under the two seconds in which a change must be in force.
	settle     = 100 * time.Millisecond
	lastSettle = 500 * time.Millisecond
)

// Keeper keeps the tables of one entry. Table may be called from any goroutine.
type Keeper struct {
	config Config
	table  atomic.Pointer[routes.Table]
	value  atomic.Pointer[[]byte]
	// listed says that the upstreams were read once.
	listed atomic.Bool
	offers chan []byte
	// faults counts the entries that could not be decoded since faultsTold.
	faults     int
	faultsTold time.Time
}

// New returns a Keeper; Run starts it.
func New(config Config) *Keeper {
	return &Keeper{config: config, offers: make(chan []byte, 8)}
}

// Table returns the table in force, or nil while none is known.
func (k *Keeper) Table() *routes.Table { return k.table.Load() }

// Value returns the encoded table in force, or nil.
func (k *Keeper) Value() []byte {
	if value := k.value.Load(); value != nil {
		return *value
	}
	return nil
}

// Ready reports whether routes and upstreams are known.
func (k *Keeper) Ready() bool { return k.Table() != nil && k.listed.Load() }

// Offer takes an encoded table that another entry has in force. It never blocks: while
// the queue is full the source or a later offer brings it.
func (k *Keeper) Offer(value []byte) {
	select {
	case k.offers <- value:
	default:
		k.config.Log.Warn().Msg("routes offered by another entry dropped: queue full")
	}
}

// Run follows the source until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	go k.follow(ctx, "upstreams", k.upstreams)
	news := make(chan []byte)
	go k.follow(ctx, "routes", func(ctx context.Context, after uint64) (uint64, error) {
		got, err := k.config.Source.Routes(ctx, after, k.config.Wait)
		if err == nil && got.Value != nil {
			select {
			case news <- got.Value:
			case <-ctx.Done():
			}
		}
		return got.Cursor, err
	})
	for {
		select {
		case <-ctx.Done():
			return
		case value := <-news:
			k.take(value, "store")
		case value := <-k.offers:
			k.take(value, "entry")
		}
	}
}

// take puts a table in force if it is newer than the one that is. An older one may come
// late from another entry or from a store's answer that was under way: it would undo what
// callers have already seen.
func (k *Keeper) take(value []byte, from string) {
	next, err := k.config.Source.Decode(value)
	if err != nil {
		k.config.Log.Error().Err(err).Str("from", from).Msg("routes could not be decoded; the last ones stay in force")
		return
	}
	if old := k.Table(); old != nil && old.Version() >= next.Version() {
		return
	}
	k.value.Store(&value)
	k.table.Store(next)
	k.config.Log.Info().Uint64("version", next.Version()).Str("from", from).
		Int("routes", next.Len()).Msg("routes in force")
	if k.config.Changed != nil {
		k.config.Changed(value)
	}
}

func (k *Keeper) upstreams(ctx context.Context, after uint64) (uint64, error) {
	news, err := k.config.Source.Upstreams(ctx, after, k.config.Wait)
	now := time.Now()
	if err != nil {
		if ctx.Err() == nil && !errors.Is(err, table.ErrHistoryGone) {
			k.config.Upstreams.SourceLost(now)
		}
		return 0, err
	}
	k.tellFaults(now, news.Faults)
	k.config.Upstreams.Apply(now, news.Changes, news.Whole)
	k.listed.Store(true)
	return news.Cursor, nil
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

// follow calls read again and again. After a failure it goes on from the same cursor, or
// from the beginning where the source has forgotten what came after it.
func (k *Keeper) follow(ctx context.Context, what string, read func(context.Context, uint64) (uint64, error)) {
	log := k.config.Log.With().Str("feed", what).Logger()
	var cursor uint64
	wait, settling := firstPause, settle
	lost := time.Time{}
	for ctx.Err() == nil {
		next, err := read(ctx, cursor)
		switch {
		case err == nil:
			if !lost.IsZero() {
				log.Info().Dur("away_ms", time.Since(lost)).Msg("store answers again")
			}
			news := next != cursor
			cursor, wait, lost = next, firstPause, time.Time{}
			if !news {
				settling = settle
				continue
			}
			pause.For(ctx, settling)
			settling = min(2*settling, lastSettle)
			continue
		case ctx.Err() != nil:
			return
		case errors.Is(err, table.ErrHistoryGone):
			log.Warn().Uint64("after", cursor).Msg("the store has dropped its history; reading all")
			cursor = 0
		case lost.IsZero():
			log.Warn().Err(err).Msg("store lost; going on with what is known")
			lost = time.Now()
		}
		pause.For(ctx, wait)
		wait = min(2*wait, lastPause)
	}
}
