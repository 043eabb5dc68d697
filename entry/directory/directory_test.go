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

// source answers calls from a script; the encoded table is just its version.
type source struct {
	routes    chan answer
	upstreams chan error

	mu sync.Mutex
	// asked are the places after which the routes were read.
	asked []uint64
	// decoded counts the tables that were decoded.
	decoded atomic.Int64
}

// calls returns the places after which the routes were read up to now.
func (s *source) calls() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.asked)
}

type answer struct {
	version int
	cursor  uint64
	err     error
}

func newSource() *source { return &source{routes: make(chan answer), upstreams: make(chan error)} }

func (s *source) Routes(ctx context.Context, after uint64, wait time.Duration) (RoutesNews, error) {
	s.mu.Lock()
	s.asked = append(s.asked, after)
	s.mu.Unlock()
	select {
	case a := <-s.routes:
		if a.err != nil {
			return RoutesNews{}, a.err
		}
		return RoutesNews{Value: []byte(strconv.Itoa(a.version)), Cursor: a.cursor}, nil
	case <-time.After(wait):
		return RoutesNews{Cursor: after}, nil
	case <-ctx.Done():
		return RoutesNews{}, ctx.Err()
	}
}

func (s *source) Upstreams(ctx context.Context, after uint64, wait time.Duration) (UpstreamsNews, error) {
	select {
	case err := <-s.upstreams:
		return UpstreamsNews{Cursor: after + 1}, err
	case <-time.After(wait):
		return UpstreamsNews{Cursor: after}, nil
	case <-ctx.Done():
		return UpstreamsNews{}, ctx.Err()
	}
}

func (s *source) Decode(value []byte) (*routes.Table, error) {
	s.decoded.Add(1)
	version, err := strconv.Atoi(string(bytes.TrimRight(value, " ")))
	if err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	return routes.Build(&routes.Document{Version: uint64(version)})
}

func (*source) Version(value []byte) (uint64, error) {
	return strconv.ParseUint(string(bytes.TrimRight(value, " ")), 10, 64)
}

// upstreams counts what it is told.
type upstreams struct {
	applied int
	lost    int
}

func (u *upstreams) Apply(time.Time, []dispatch.Change, bool) { u.applied++ }
func (u *upstreams) SourceLost(time.Time)                     { u.lost++ }

// run starts a Keeper in a bubble of virtual time.
func run(t *testing.T, test func(t *testing.T, k *Keeper, s *source, u *upstreams)) {
	runWith(t, func(*Config) {}, test)
}

// runWith is run with a configuration that the test may change.
func runWith(t *testing.T, configure func(c *Config), test func(t *testing.T, k *Keeper, s *source, u *upstreams)) {
	synctest.Test(t, func(t *testing.T) {
		s, u := newSource(), &upstreams{}
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

// Symptom: callers see a configuration that was replaced. Sequence: a version is in force;
// an older one comes late, from the store or from another entry; a damaged one comes.
// Cause: whatever came last was put in force.
func TestVersionsOnlyRise(t *testing.T) {
	run(t, func(t *testing.T, k *Keeper, s *source, _ *upstreams) {
		require.Zero(t, version(k))
		s.routes <- answer{version: 5, cursor: 10}
		require.Equal(t, uint64(5), version(k))
		k.Offer([]byte("4"))
		require.Equal(t, uint64(5), version(k))
		k.Offer([]byte("7"))
		require.Equal(t, uint64(7), version(k))
		s.routes <- answer{version: 6, cursor: 11}
		require.Equal(t, uint64(7), version(k))
		k.Offer([]byte("damaged"))
		require.Equal(t, uint64(7), version(k))
		require.Equal(t, "7", string(k.Value()))
	})
}

// Symptom: after an outage, changes made meanwhile are never heard of. Sequence: the store
// fails and comes back; or it has dropped its history. Cause: the feed went on from the
// wrong place.
func TestFeedGoesOnFromTheRightPlace(t *testing.T) {
	run(t, func(t *testing.T, k *Keeper, s *source, _ *upstreams) {
		s.routes <- answer{version: 1, cursor: 10}
		s.routes <- answer{err: table.ErrUnavailable}
		s.routes <- answer{err: table.ErrUnavailable}
		s.routes <- answer{version: 2, cursor: 12}
		s.routes <- answer{err: table.ErrHistoryTruncated}
		s.routes <- answer{version: 3, cursor: 20}
		require.Equal(t, uint64(3), version(k))
		require.Equal(t, []uint64{0, 10, 10, 10, 12, 0}, s.calls()[:6])
	})
}

// Symptom: an outage of the store is fed by calls. Sequence: each call fails at once.
// Cause: it was repeated without a pause.
func TestFailedCallsPause(t *testing.T) {
	run(t, func(t *testing.T, _ *Keeper, s *source, u *upstreams) {
		began := time.Now()
		for range 10 {
			s.upstreams <- table.ErrUnavailable
		}
		require.GreaterOrEqual(t, time.Since(began), 6*lastPause)
		synctest.Wait()
		require.Equal(t, 10, u.lost)
		s.upstreams <- nil
		synctest.Wait()
		require.Equal(t, 1, u.applied)
	})
}

// Symptom: starts and storms of changes cost hundreds of calls of the store. Sequence: changes
// come every 40 ms for 4 s. Cause: each was asked for by itself. The last one is in force well
// within two seconds, and the first after a calm at once.
func TestSeriesOfChangesIsReadInFewCalls(t *testing.T) {
	run(t, func(t *testing.T, k *Keeper, s *source, _ *upstreams) {
		began := time.Now()
		for n := 1; time.Since(began) < 4*time.Second; n++ {
			s.routes <- answer{version: n, cursor: uint64(n)}
		}
		synctest.Wait()
		require.Less(t, len(s.calls()), 14)
		last := k.Table().Version()
		time.Sleep(3 * time.Second) // No news: the series is over.
		asked := time.Now()
		s.routes <- answer{version: int(last) + 1, cursor: uint64(last) + 1}
		require.Equal(t, last+1, version(k))
		require.Less(t, time.Since(asked), lastSettle)
	})
}

// Symptom: an entry that has just started answers 404 for routes that exist. Sequence: its
// start; a request before routes or upstreams are known. Cause: it counted as ready.
func TestReadyOnlyWithRoutesAndUpstreams(t *testing.T) {
	run(t, func(t *testing.T, k *Keeper, s *source, _ *upstreams) {
		require.False(t, k.Ready())
		s.upstreams <- nil
		require.Zero(t, version(k))
		require.False(t, k.Ready())
		s.routes <- answer{version: 1, cursor: 1}
		require.Equal(t, uint64(1), version(k))
		require.True(t, k.Ready())
	})
}
