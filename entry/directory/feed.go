package directory

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/core/follow"
	"acaciacleat.example/core/standstill"
	"acaciacleat.example/peers/link"
	"acaciacleat.example/peers/pause"
	"acaciacleat.example/peers/table"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// The pauses between reads.
const (
	// minRetryPause is the pause after a first failed read: short, since a configuration must be
	// active within seconds. It doubles up to maxRetryPause, so that reads repeated during an
	// outage do not add to the store's load.
	minRetryPause = 50 * time.Millisecond
	maxRetryPause = 400 * time.Millisecond
	// minBatchPause is the pause after an update. Changes come in bursts (51 upstreams register
	// within 2.5 s at startup) and each answered read is billed, so the pause doubles during a
	// burst up to maxBatchPause, far below the two seconds in which a change must be active.
	minBatchPause = 100 * time.Millisecond
	maxBatchPause = 500 * time.Millisecond
	// resumeWait is how long a read waits for a change that doesn't follow a successful one.
	resumeWait = 100 * time.Millisecond
)

// failureInterval is the interval at which a relay whose reads fail tells others so, which choose other
// followers meanwhile.
const failureInterval = 4 * time.Second

// feed is one of the source's feeds, which the entry reads itself or receives from followers.
type feed struct {
	name   link.Feed
	config *Config
	log    zerolog.Logger
	// read reads the changes after a position, or everything if it is zero.
	read func(ctx context.Context, after follow.Position, wait time.Duration) (*batch, error)
	// apply applies what is new in a batch; it reports false if that could not be queued.
	apply func(now time.Time, b *batch) bool
	// applyProven, if not nil, applies what of an answer depends on how far it proves that nothing is missing.
	applyProven func(now time.Time, b *batch, from, to follow.Position)
	// outgoing returns the update to forward for a batch that was read, without any content that
	// is not forwarded.
	outgoing func(b *batch) *link.FeedUpdate
	// appliedVersion returns the version of the active content, to compare with the version of
	// content that an update omits. It is nil for a feed whose updates omit no content.
	appliedVersion func() uint64
	// wakeups holds a value when a listener may have to read.
	wakeups chan struct{}
	// readSince is when the last successful read of this entry was begun; zero if there was none.
	readSince atomic.Pointer[time.Time]
	// interrupt ends the pause or read in progress.
	interrupt   atomic.Pointer[context.CancelFunc]
	standstills *standstill.Detector
	// onConfirmed is called when a read has succeeded, and when others have said what they have read.
	onConfirmed func()
	// wholeState returns the state to send to an entry that asks for it. It returns nil if not all
	// of what the feed has taken up is active yet.
	wholeState func(position follow.Position) *link.FeedUpdate

	// mu guards state, and serialises updates so that they are applied in the order of their
	// positions.
	mu    sync.Mutex
	state *follow.Feed
	// askers are the entries that wait for the state.
	askers map[string]bool
	// asked says that others were asked for the state since the feed was last up to date.
	asked bool

	// listening says that other entries read this feed for this entry.
	listening atomic.Bool
	// confirmedAt is when the entry last knew that it had missed nothing; zero for never.
	confirmedAt atomic.Pointer[time.Time]
	// reads counts the reads of the store, and readsFailed those that failed.
	reads, readsFailed atomic.Uint64
	// failingSince is when reads of the store began to fail; zero while they succeed. Only the
	// goroutine of run uses it.
	failingSince time.Time
	// unconfirmedRows says that the next read asks once more for rows of the last answer; see follow.Feed. Only the goroutine
	// of run uses it.
	unconfirmedRows bool
	// unread says that the last answer was so large that there may be more changes. Only the goroutine of run uses it.
	unread bool
	// atOnce and anew make the next read begin at once, or from the beginning.
	atOnce, anew atomic.Bool
	// failureToldAt is when others were last told that reads fail.
	failureToldAt time.Time
	// answers are the last answered reads.
	answers readLog
}

func (k *Keeper) newFeed(name link.Feed, read func(context.Context, follow.Position, time.Duration) (*batch, error),
	apply func(time.Time, *batch) bool,
) *feed {
	return &feed{
		name: name, config: &k.config, log: k.config.Log.With().Stringer("feed", name).Logger(),
		read: read, apply: apply, outgoing: (*batch).outgoing, state: follow.NewFeed(), wakeups: make(chan struct{}, 1),
		onConfirmed: k.currency.notify, standstills: k.standstills,
	}
}

// run reads the feed continuously while this entry has to read it, and listens otherwise.
// After a failure it continues from the same position, or from the beginning if the source no
// longer has the changes after it.
func (f *feed) run(ctx context.Context) {
	// At startup the batch pause begins at its maximum, as in a burst: upstreams register, and
	// followers are not linked yet.
	retryPause, batchPause := minRetryPause, maxBatchPause
	paused := time.Duration(0)
	// inSequence is set while reads succeed one after the other.
	inSequence := false
	for ctx.Err() == nil {
		role := f.config.Role()
		if role == follow.Starting {
			f.waitForWakeup(ctx, startPoll)
			continue
		}
		step, end := f.interruptible(ctx)
		f.beginAnew()
		confirming := f.unconfirmed(role) || f.atOnce.Swap(false)
		switch {
		case confirming:
			paused, inSequence = 0, false
		case f.listen(step, role):
			batchPause, paused, inSequence = minBatchPause, 0, false
			end()
			continue
		case f.askOthers(step, role):
			end()
			continue
		}
		changed, err := f.readOnce(step, role, f.readWait(role, inSequence, paused, confirming))
		paused, inSequence = 0, err == nil
		switch {
		case ctx.Err() != nil:
			end()
			return
		case step.Err() != nil:
		case err != nil:
			f.handleReadError(role, err)
			pause.For(step, retryPause)
			retryPause = min(2*retryPause, maxRetryPause)
		case changed && f.unread:
			retryPause = minRetryPause
		case changed:
			retryPause = minRetryPause
			paused = batchPause
			pause.For(step, paused)
			batchPause = min(2*batchPause, maxBatchPause)
		default:
			retryPause, batchPause = minRetryPause, minBatchPause
		}
		end()
	}
}

// listen waits while other entries read the feed for this one; it reports false if this entry has
// to read it.
func (f *feed) listen(ctx context.Context, role follow.Role) bool {
	now := time.Now()
	f.mu.Lock()
	f.recordApplied()
	until, ok := f.state.CanListen(now, role)
	f.asked = f.asked && !ok
	f.mu.Unlock()
	f.logListening(ok, role)
	if !ok {
		return false
	}
	f.waitForWakeup(ctx, until.Sub(now))
	return true
}

// waitForWakeup waits until the feed is woken, at most for the given time.
func (f *feed) waitForWakeup(ctx context.Context, atMost time.Duration) {
	timer := time.NewTimer(atMost)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.wakeups:
	}
}

// recordApplied records the version of the active content, which may have arrived by another path
// than the feed. It is called with mu held.
func (f *feed) recordApplied() {
	if f.appliedVersion != nil {
		f.state.ContentApplied(f.appliedVersion())
	}
}

func (f *feed) logListening(listening bool, role follow.Role) {
	if f.listening.Swap(listening) == listening {
		return
	}
	if listening {
		f.log.Info().Msg("listening to the entries that follow the feed")
	} else {
		f.log.Info().Bool("listener", role == follow.Listener).Msg("reading the feed: no follower is heard, or news were missed")
	}
}

// readWait returns how long the next read waits for a change. paused is the batch pause before it, or zero
// if there was none; no read is pending during it, so it counts towards the wait. The first
// read after a failed one, or after other entries' reads, waits only shortly, so that the return of the
// store, or that a connection has gone silent meanwhile, is noticed in time.
func (f *feed) readWait(role follow.Role, inSequence bool, paused time.Duration, confirming bool) time.Duration {
	switch {
	case confirming, f.unconfirmedRows:
		return confirmWait
	case !inSequence:
		return min(f.config.Wait, resumeWait)
	case role == follow.Standalone:
		return max(f.config.Wait-paused, 0)
	default:
		return max(min(f.config.Wait, follow.FollowerReadWait)-paused, 0)
	}
}

// readOnce reads the feed once, waiting for a change for the given time, applies the update and, as a
// follower, forwards it. It reports whether anything changed.
func (f *feed) readOnce(ctx context.Context, role follow.Role, wait time.Duration) (bool, error) {
	f.mu.Lock()
	f.recordApplied()
	after, from := f.state.ReadFrom(), f.state.Position()
	if after == 0 && !f.state.Confirms() {
		from = 0
	}
	f.mu.Unlock()
	began := time.Now()
	f.reads.Add(1)
	b, err := f.read(ctx, after, wait)
	if err != nil {
		f.readsFailed.Add(1)
		return false, errors.WithMessagef(err, "read from %d, waiting %d ms, for %d ms", after, wait.Milliseconds(), time.Since(began).Milliseconds())
	}
	b.origin, b.Feed, b.From, b.To = fromStore, f.name, uint64(from), max(b.extent.Named, uint64(from))
	if !f.failingSince.IsZero() {
		b.Recovered = true
		f.log.Info().Dur("away_ms", time.Since(f.failingSince)).Msg("store answers again")
		f.failingSince = time.Time{}
	}
	rows := b.rows()
	f.mu.Lock()
	now := time.Now()
	f.takeUp(began, now, after, b)
	f.logPassedOver(b)
	f.answers.add(readRecord{began: began, answered: now, wait: wait, from: uint64(after), named: b.extent.Named, rows: rows})
	b.Behind = !f.state.Current()
	f.unconfirmedRows, f.unread = f.state.Unconfirmed(), b.extent.Full
	f.asked = false
	f.noteConfirmed()
	f.readSince.Store(&began)
	f.answerAskers(now)
	f.mu.Unlock()
	f.onConfirmed()
	// An update without changes says that there are none.
	if (role == follow.Follower || role == follow.Listener) && (!b.Behind || b.To != b.From) {
		f.config.Forward(f.outgoing(b), role == follow.Follower)
	}
	return b.To != b.From || f.unconfirmedRows, nil
}

// takeUp applies the answer to a read from a position. It is called with mu held.
func (f *feed) takeUp(began, now time.Time, after follow.Position, b *batch) {
	f.state.RecordAnswer(after, began, now, b.answer())
	if f.applyProven != nil {
		read, proven := after, f.state.Proven()
		if after == 0 && !f.state.Current() {
			read = proven // A list that is older than what is known doesn't say what has ended.
		}
		f.applyProven(now, b, read, proven)
	}
	switch newest := f.state.Read(now, follow.Position(b.To)); {
	case !newest && b.whole():
		f.state.Reset() // Another entry has sent newer changes meanwhile; this list lacks them.
	case !f.apply(now, b):
		f.state.Revert()
	}
}

// maxExplainedReads is the number of reads that a line tells of.
const maxExplainedReads = 6

// logPassedOver logs a change that earlier reads had passed over: the source had named newer versions without reporting
// it.
func (f *feed) logPassedOver(b *batch) {
	for _, revision := range b.news {
		if passed, ok := f.answers.notePassedOver(revision); ok {
			f.log.Warn().Uint64("revision", revision).Uint64("from", passed.from).Uint64("named", passed.named).
				Int64("late_ms", time.Since(passed.answered).Milliseconds()).Array("reads", f.answers.last(maxExplainedReads)).
				Msg("a change was passed over: a read named a newer version without it")
			return
		}
	}
}

func (f *feed) handleReadError(role follow.Role, err error) {
	if errors.Is(err, table.ErrHistoryTruncated) {
		f.mu.Lock()
		f.log.Warn().Uint64("after", uint64(f.state.ReadFrom())).Msg("the store has dropped its history; reading all")
		f.reset()
		f.mu.Unlock()
		return
	}
	now := time.Now()
	if f.failingSince.IsZero() {
		f.log.Warn().Err(err).Msg("store lost; going on with what is known")
		f.failingSince = now
	} else if now.Sub(f.failureToldAt) < failureInterval {
		return
	}
	if role == follow.Follower || role == follow.Listener {
		f.failureToldAt = now
		f.config.Forward(&link.FeedUpdate{Feed: f.name, ReadFailed: true}, true)
	}
}

// handleUpdate handles an update that a follower has forwarded.
func (f *feed) handleUpdate(now time.Time, follower string, update *link.FeedUpdate) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if update.ReadFailed {
		f.state.DropFollower(follower)
		f.wake()
		return
	}
	defer f.noteConfirmed()
	if update.Complete {
		f.handleState(now, update)
		return
	}
	if f.followUpdate(now, follower, update) {
		f.applyContent(now, update)
	} else {
		f.applyRepeated(now, update)
	}
	if f.state.MissedUpdate() || update.OmittedVersion() > 0 {
		f.wake()
	}
	f.answerAskers(now)
}

// followUpdate reports whether to apply the content of a follower's update. It is called with mu held.
func (f *feed) followUpdate(now time.Time, follower string, update *link.FeedUpdate) bool {
	from, to := follow.Position(update.From), follow.Position(update.To)
	if update.Behind {
		return f.state.HandleUnconfirmed(now, from, to)
	}
	return f.state.HandleUpdate(now, follower, from, to)
}

// applyContent applies the content of an update or a state, or expects it if it was omitted. It is called
// with mu held.
func (f *feed) applyContent(now time.Time, update *link.FeedUpdate) {
	version := update.OmittedVersion()
	switch {
	case version > 0 && f.appliedVersion != nil:
		f.state.ExpectContent(now, version)
		f.recordApplied()
	case update.Omitted || !f.apply(now, &batch{FeedUpdate: update, origin: fromEntry}):
		f.state.Revert()
	}
}

// applyRepeated applies what is new in an update that doesn't go on from the position, or not beyond it: the sender may have
// read again and found what others lack. It is called with mu held.
func (f *feed) applyRepeated(now time.Time, update *link.FeedUpdate) {
	repeated := *update
	repeated.Changes = slices.DeleteFunc(slices.Clone(update.Changes), func(change dispatch.Change) bool { return change.Revision == 0 })
	if update.Omitted || len(repeated.Changes) == 0 && (f.appliedVersion == nil || len(update.Routes) == 0) {
		return
	}
	if !f.apply(now, &batch{FeedUpdate: &repeated, origin: fromEntry}) {
		f.log.Info().Uint64("from", update.From).Uint64("to", update.To).Msg("a repeated update could not be applied; others announce what it has")
	}
}

func (f *feed) dropFollower(entry string) {
	f.mu.Lock()
	f.state.DropFollower(entry)
	f.mu.Unlock()
	f.wake()
}

// afterApplied is called when a routing table that the feed has taken up was applied.
func (f *feed) afterApplied() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answerAskers(time.Now())
}

// noteConfirmed records when the entry last knew that it had missed nothing. It is called with mu held.
func (f *feed) noteConfirmed() {
	at := f.state.ConfirmedAt()
	f.confirmedAt.Store(&at)
	f.onConfirmed()
}

// confirmedSince reports whether the entry knew at a time or later that it had missed nothing.
func (f *feed) confirmedSince(at time.Time) bool {
	confirmed := f.confirmedAt.Load()
	return confirmed != nil && !confirmed.Before(at)
}

// age returns how long ago the entry last knew that it had missed nothing; negative if it never did.
func (f *feed) age(now time.Time) time.Duration {
	at := f.confirmedAt.Load()
	if at == nil || at.IsZero() {
		return -1
	}
	return max(now.Sub(*at), 0)
}

// wake makes a listener check whether it has to read.
func (f *feed) wake() {
	select {
	case f.wakeups <- struct{}{}:
	default: // A check is already pending.
	}
}
