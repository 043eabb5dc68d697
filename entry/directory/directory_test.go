package directory

import (
	"bytes"
	"context"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/core/routes"
	"acaciacleat.example/peers/table"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// scriptedSource answers reads with the values that a test sends; an encoded table is just its
// version.
type scriptedSource struct {
	routes    chan answer
	upstreams chan error

	mu sync.Mutex
	// readFrom are the positions after which the routes were read.
	readFrom []uint64
	// hang keeps reads from ending by themselves.
	hang atomic.Bool
	// decoded counts the decoded tables.
	decoded atomic.Int64
}

// reads returns the positions after which the routes have been read so far.
func (s *scriptedSource) reads() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.readFrom)
}

type answer struct {
	version int
	cursor  uint64
	err     error
}

func newSource() *scriptedSource {
	return &scriptedSource{routes: make(chan answer), upstreams: make(chan error)}
}

// timeout returns a channel that has a value when the wait of a read is over.
func (s *scriptedSource) timeout(wait time.Duration) <-chan time.Time {
	if s.hang.Load() {
		return nil
	}
	return time.After(wait)
}

func (s *scriptedSource) Routes(ctx context.Context, after uint64, wait time.Duration) (RoutesUpdate, error) {
	s.mu.Lock()
	s.readFrom = append(s.readFrom, after)
	s.mu.Unlock()
	select {
	case a := <-s.routes:
		if a.err != nil {
			return RoutesUpdate{}, a.err
		}
		return RoutesUpdate{Value: []byte(strconv.Itoa(a.version)), Revision: a.cursor, Extent: table.Extent{Named: a.cursor, Rows: a.cursor}}, nil
	case <-s.timeout(wait):
		return RoutesUpdate{Extent: table.Extent{Named: after}}, nil
	case <-ctx.Done():
		return RoutesUpdate{}, ctx.Err()
	}
}

func (s *scriptedSource) Upstreams(ctx context.Context, after uint64, wait time.Duration) (UpstreamsUpdate, error) {
	select {
	case err := <-s.upstreams:
		return UpstreamsUpdate{Extent: table.Extent{Named: after + 1, Rows: after + 1}}, err
	case <-s.timeout(wait):
		return UpstreamsUpdate{Extent: table.Extent{Named: after}}, nil
	case <-ctx.Done():
		return UpstreamsUpdate{}, ctx.Err()
	}
}

func (s *scriptedSource) Decode(value []byte) (*routes.Table, error) {
	s.decoded.Add(1)
	version, err := strconv.Atoi(string(bytes.TrimRight(value, " ")))
	if err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	return routes.Build(&routes.Document{Version: uint64(version)})
}

func (*scriptedSource) Version(value []byte) (uint64, error) {
	return strconv.ParseUint(string(bytes.TrimRight(value, " ")), 10, 64)
}

// recordedUpstreams counts the calls of its methods.
type recordedUpstreams struct {
	applied     int
	unavailable int
}

func (u *recordedUpstreams) Apply(time.Time, []dispatch.Change, bool) { u.applied++ }
func (u *recordedUpstreams) RegistryUnavailable()                     { u.unavailable++ }
func (u *recordedUpstreams) RegistryAnswered(time.Time)               {}
func (u *recordedUpstreams) RegistryReturned(time.Time)               { u.unavailable++ }

// run starts a Keeper in a synctest bubble, whose time is virtual.
func run(t *testing.T, test func(t *testing.T, k *Keeper, s *scriptedSource, u *recordedUpstreams)) {
	runWith(t, func(*Config) {}, test)
}

// runWith is like run, with a configuration that the test may change.
func runWith(t *testing.T, configure func(c *Config), test func(t *testing.T, k *Keeper, s *scriptedSource, u *recordedUpstreams)) {
	synctest.Test(t, func(t *testing.T) {
		s, u := newSource(), &recordedUpstreams{}
		config := Config{Source: s, Wait: time.Second, Upstreams: u, Log: zerolog.Nop()}
		configure(&config)
		k := New(config)
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			k.Run(ctx)
		}()
		test(t, k, s, u)
		stop()
		<-ended
		synctest.Wait()
	})
}

func version(k *Keeper) uint64 {
	synctest.Wait()
	if table := k.Table(); table != nil {
		return table.Version()
	}
	return 0
}

// Callers must not see a replaced configuration again: an older table that arrives late, from
// the store or from another entry, and a table that cannot be decoded are not applied.
func TestOlderVersionsAreNotApplied(t *testing.T) {
	run(t, func(t *testing.T, k *Keeper, s *scriptedSource, _ *recordedUpstreams) {
		require.Zero(t, version(k))
		s.routes <- answer{version: 5, cursor: 10}
		require.Equal(t, uint64(5), version(k))
		k.EnqueueRoutes([]byte("4"))
		require.Equal(t, uint64(5), version(k))
		k.EnqueueRoutes([]byte("7"))
		require.Equal(t, uint64(7), version(k))
		s.routes <- answer{version: 6, cursor: 11}
		require.Equal(t, uint64(7), version(k))
		k.EnqueueRoutes([]byte("damaged"))
		require.Equal(t, uint64(7), version(k))
		require.Equal(t, "7", string(k.Value()))
	})
}

// Changes made during an outage must not be lost: after a failed read the feed continues from
// the same position, and after the store has truncated its history from the beginning.
func TestFeedResumesFromItsPosition(t *testing.T) {
	run(t, func(t *testing.T, k *Keeper, s *scriptedSource, _ *recordedUpstreams) {
		s.routes <- answer{version: 1, cursor: 10}
		s.routes <- answer{err: table.ErrUnavailable}
		s.routes <- answer{err: table.ErrUnavailable}
		s.routes <- answer{version: 2, cursor: 12}
		s.routes <- answer{version: 2, cursor: 12} // It is asked for once more.
		s.routes <- answer{err: table.ErrHistoryTruncated}
		s.routes <- answer{version: 3, cursor: 20}
		require.Equal(t, uint64(3), version(k))
		require.Equal(t, []uint64{0, 10, 10, 10, 10, 12, 0}, s.reads()[:7])
	})
}

// Reads that fail at once must not be repeated without a pause: they would add load to a store
// that is failing.
func TestFailedReadsPause(t *testing.T) {
	run(t, func(t *testing.T, _ *Keeper, s *scriptedSource, u *recordedUpstreams) {
		began := time.Now()
		for range 10 {
			s.upstreams <- table.ErrUnavailable
		}
		require.GreaterOrEqual(t, time.Since(began), 6*maxRetryPause)
		synctest.Wait()
		require.Equal(t, 10, u.unavailable)
		s.upstreams <- nil
		synctest.Wait()
		require.Equal(t, 1, u.applied)
	})
}

// Startup or a burst of changes, such as one every 40 ms for 4 s, must not cost hundreds of reads of
// the store, one for each change. The last change is active well within two seconds, and the
// first change after a quiet period at once.
func TestBurstOfChangesIsReadInFewCalls(t *testing.T) {
	run(t, func(t *testing.T, k *Keeper, s *scriptedSource, _ *recordedUpstreams) {
		began := time.Now()
		for n := 1; time.Since(began) < 4*time.Second; n++ {
			s.routes <- answer{version: n, cursor: uint64(n)}
		}
		synctest.Wait()
		require.Less(t, len(s.reads()), 14)
		last := k.Table().Version()
		time.Sleep(3 * time.Second) // Nothing changes: the burst has ended.
		changed := time.Now()
		s.routes <- answer{version: int(last) + 1, cursor: uint64(last) + 1}
		require.Equal(t, last+1, version(k))
		require.Less(t, time.Since(changed), maxBatchPause)
	})
}

// An entry that has just started must not answer 404 for routes that exist: it is not ready
// until both routes and upstreams are known.
func TestReadyOnlyWithRoutesAndUpstreams(t *testing.T) {
	run(t, func(t *testing.T, k *Keeper, s *scriptedSource, _ *recordedUpstreams) {
		require.False(t, k.Ready())
		s.upstreams <- nil
		require.Zero(t, version(k))
		require.False(t, k.Ready())
		s.routes <- answer{version: 1, cursor: 1}
		require.Equal(t, uint64(1), version(k))
		require.True(t, k.Ready())
	})
}
