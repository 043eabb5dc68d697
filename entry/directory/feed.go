package directory

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"acaciacleat.example/core/follow"
	"acaciacleat.example/peers/link"
	"acaciacleat.example/peers/pause"
	"acaciacleat.example/peers/table"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

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

// feed is one of the source's feeds as an entry follows it, or hears of it.
type feed struct {
	name   link.Feed
	config *Config
	log    zerolog.Logger
	// read reads what came after a place, or everything after zero.
	read func(ctx context.Context, after follow.Position, wait time.Duration) (*link.FeedUpdate, error)
	// apply puts news in force; it reports false where they could not be taken up.
	apply func(now time.Time, news *link.FeedUpdate, from origin) bool
	// outgoing returns news as they are passed on, inForce the version of the content in force, which
	// what was left out of them has; nil where nothing is left out.
	outgoing func(news *link.FeedUpdate) *link.FeedUpdate
	inForce  func() uint64
	// woken has a value when a listener may have to read.
	woken chan struct{}

	// mu also orders the news: what is applied is applied in the order of its places.
	mu    sync.Mutex
	state *follow.Feed

	// listening says that others read for this entry.
	listening atomic.Bool
	// readsFailed counts the reads of the store that have failed.
	readsFailed atomic.Uint64
	// lost is since when the store has not answered; used by the following goroutine only.
	lost time.Time
}

func (k *Keeper) newFeed(name link.Feed, read func(context.Context, follow.Position, time.Duration) (*link.FeedUpdate, error),
	apply func(time.Time, *link.FeedUpdate, origin) bool,
) *feed {
	return &feed{
		name: name, config: &k.config, log: k.config.Log.With().Stringer("feed", name).Logger(),
		read: read, apply: apply, outgoing: changesOnly, state: follow.NewFeed(), woken: make(chan struct{}, 1),
	}
}

// follow reads the feed again and again while that is this entry's to do, and listens
// otherwise. After a failure it goes on from the same place, or from the beginning where the
// source has forgotten what came after it.
func (f *feed) follow(ctx context.Context) {
	// A start is a series: upstreams register, and the entries that follow are not linked yet.
	wait, settling := firstPause, lastSettle
	paused := time.Duration(0)
	for ctx.Err() == nil {
		role := f.config.Role()
		if f.listen(ctx, role) {
			settling, paused = settle, 0
			continue
		}
		news, err := f.readOnce(ctx, role, paused)
		paused = 0
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			f.failed(role, err)
			pause.For(ctx, wait)
			wait = min(2*wait, lastPause)
			continue
		}
		wait = firstPause
		if !news {
			settling = settle
			continue
		}
		paused = settling
		pause.For(ctx, paused)
		settling = min(2*settling, lastSettle)
	}
}

// listen waits while others read for this entry; it reports false where it has to read.
func (f *feed) listen(ctx context.Context, role follow.Role) bool {
	now := time.Now()
	f.mu.Lock()
	f.settle()
	until, ok := f.state.CanListen(now, role)
	f.mu.Unlock()
	f.tellListening(ok, role)
	if !ok {
		return false
	}
	timer := time.NewTimer(until.Sub(now))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.woken:
	}
	return true
}

// settle notes what has come into force on another way than the feed. It is called with mu held.
func (f *feed) settle() {
	if f.inForce != nil {
		f.state.ContentApplied(f.inForce())
	}
}

func (f *feed) tellListening(listening bool, role follow.Role) {
	if f.listening.Swap(listening) == listening {
		return
	}
	if listening {
		f.log.Info().Msg("listening to the entries that follow the feed")
	} else {
		f.log.Info().Bool("listener", role == follow.Listener).Msg("reading the feed: no follower is heard, or news were missed")
	}
}

// readOnce reads what is new, puts it in force and passes it on. It reports whether there
// were news. paused is the time since the last read.
func (f *feed) readOnce(ctx context.Context, role follow.Role, paused time.Duration) (bool, error) {
	wait := f.config.Wait
	if role != follow.Standalone {
		// The pause is a part of the time in which others hear nothing.
		wait = min(wait, follow.FollowerReadWait-paused)
	}
	f.mu.Lock()
	f.settle()
	from := f.state.Position()
	f.mu.Unlock()
	began := time.Now()
	news, err := f.read(ctx, from, wait)
	if err != nil {
		f.readsFailed.Add(1)
		return false, errors.WithMessagef(err, "read from %d, waiting %d ms, for %d ms", from, wait.Milliseconds(), time.Since(began).Milliseconds())
	}
	news.Feed, news.From = f.name, uint64(from)
	if !f.lost.IsZero() {
		news.Recovered = true
		f.log.Info().Dur("away_ms", time.Since(f.lost)).Msg("store answers again")
		f.lost = time.Time{}
	}
	f.mu.Lock()
	if f.state.Read(follow.Position(news.To)) && !f.apply(time.Now(), news, fromStore) {
		f.state.Revert()
	}
	f.mu.Unlock()
	if role == follow.Follower {
		f.config.Tell(f.outgoing(news))
	}
	return news.To != news.From, nil
}

// changesOnly returns news as they are passed on. What was read from the beginning lists all there
// is and can't tell others what has gone: they hear the place alone.
func changesOnly(news *link.FeedUpdate) *link.FeedUpdate {
	told := *news
	if news.From == 0 {
		told.From, told.Routes, told.Changes = news.To, nil, nil
	}
	return &told
}

func (f *feed) failed(role follow.Role, err error) {
	if errors.Is(err, table.ErrHistoryTruncated) {
		f.mu.Lock()
		f.log.Warn().Uint64("after", uint64(f.state.Position())).Msg("the store has dropped its history; reading all")
		f.state.Reset()
		f.mu.Unlock()
		return
	}
	if !f.lost.IsZero() {
		return
	}
	f.log.Warn().Err(err).Msg("store lost; going on with what is known")
	f.lost = time.Now()
	if role == follow.Follower {
		f.config.Tell(&link.FeedUpdate{Feed: f.name, ReadFailed: true})
	}
}

// heard takes what a follower has read.
func (f *feed) heard(now time.Time, follower string, news *link.FeedUpdate) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if news.ReadFailed {
		f.state.DropFollower(follower)
		f.wake()
		return
	}
	fresh := f.state.HandleUpdate(now, follower, follow.Position(news.From), follow.Position(news.To))
	version := news.OmittedVersion()
	switch {
	case !fresh:
	case version > 0 && f.inForce != nil:
		f.state.ExpectContent(now, version)
		f.settle()
	case news.Omitted || !f.apply(now, news, fromEntry):
		f.state.Revert()
	}
	if f.state.MissedUpdate() || version > 0 {
		f.wake()
	}
}

func (f *feed) gone(entry string) {
	f.mu.Lock()
	f.state.DropFollower(entry)
	f.mu.Unlock()
	f.wake()
}

// wake makes a listener look whether it has to read.
func (f *feed) wake() {
	select {
	case f.woken <- struct{}{}:
	default: // It is to look already.
	}
}
