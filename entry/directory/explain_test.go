package directory

import (
	"bytes"
	"testing"
	"testing/synctest"
	"time"

	"acaciacleat.example/core/routes"
	"acaciacleat.example/peers/link"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// runLogged is like run, with a log that the test may read while the Keeper waits.
func runLogged(t *testing.T, test func(k *Keeper, s *scriptedSource, log *bytes.Buffer)) {
	log := &bytes.Buffer{}
	runWith(t, func(c *Config) { c.Log = zerolog.New(zerolog.SyncWriter(log)) }, func(t *testing.T, k *Keeper, s *scriptedSource, _ *recordedUpstreams) {
		s.upstreams <- nil
		s.routes <- answer{version: 1, cursor: 10}
		require.Equal(t, uint64(1), version(k))
		test(k, s, log)
	})
}

// Guards against a late configuration whose cause can't be named: reads named newer versions and lacked the change.
func TestChangeThatReadsPassedOverIsLoggedWithThem(t *testing.T) {
	l := &readLog{}
	_, passed := l.notePassedOver(12)
	require.False(t, passed)
	l.add(readRecord{from: 10, named: 11})
	l.add(readRecord{from: 11, named: 15})
	l.add(readRecord{from: 15, named: 15})
	first, passed := l.notePassedOver(12)
	require.True(t, passed)
	require.Equal(t, uint64(11), first.from)
	_, passed = l.notePassedOver(16)
	require.False(t, passed, "no read has named it")
	require.Equal(t, uint64(1), l.countPassedOver())
	for i := range uint64(2 * maxReadRecords) {
		l.add(readRecord{from: 15, named: 15 + i})
	}
	require.Len(t, l.records, maxReadRecords)
	require.Equal(t, uint64(15+2*maxReadRecords-1), l.last(1)[0].named)

	runLogged(t, func(k *Keeper, _ *scriptedSource, log *bytes.Buffer) {
		k.routes.answers.add(readRecord{from: 10, named: 20})
		k.routes.logPassedOver(&batch{news: []uint64{12}})
		require.Contains(t, log.String(), `"revision":12,"from":10,"named":20`)
		k.upstreams.answers.add(readRecord{from: 10, named: 20})
		k.upstreams.logPassedOver(&batch{news: []uint64{0, 14}})
		require.Equal(t, uint64(1), k.PassedOver(link.FeedRoutes))
		require.Equal(t, uint64(1), k.PassedOver(link.FeedUpstreams))
	})
}

// Guards against routes that arrive and are passed over without a line.
func TestRoutesThatAreNotAppliedAreLoggedWithTheReason(t *testing.T) {
	runLogged(t, func(k *Keeper, _ *scriptedSource, log *bytes.Buffer) {
		for value, reason := range map[string]string{"0": "older", "1": "in_force", "x": "undecodable"} {
			log.Reset()
			before := k.NotApplied()[reason]
			require.True(t, k.EnqueueRoutes([]byte(value)))
			synctest.Wait()
			require.Contains(t, log.String(), `"reason":"`+reason+`"`)
			require.Equal(t, before+1, k.NotApplied()[reason])
		}
		require.Equal(t, uint64(1), k.version())
	})
}

// Guards against served requests whose lines don't tell that the entry knew of newer routes.
func TestEntryThatHasHeardOfNewerRoutesIsLagging(t *testing.T) {
	runLogged(t, func(k *Keeper, s *scriptedSource, log *bytes.Buffer) {
		synctest.Wait()
		require.False(t, k.Lagging(time.Now()))
		k.HeardOf(3)
		k.HeardOf(2)
		require.Equal(t, uint64(3), k.Newest())
		require.True(t, k.Lagging(time.Now()))
		log.Reset()
		logger := zerolog.New(log)
		k.Explain(logger.Info()).Send()
		require.Contains(t, log.String(), `"routes_newest":3,"routes_reads":[{"began_ms_ago":`)
		s.routes <- answer{version: 3, cursor: 30}
		synctest.Wait()
		require.False(t, k.Lagging(time.Now()))
		s.hang.Store(true)
		time.Sleep(time.Minute)
		require.True(t, k.Lagging(time.Now()), "the store doesn't answer")
	})
}

// Guards against a line on new routes that doesn't tell what they add and remove, and against one without a bound.
func TestVersionsTellWhatTheyChange(t *testing.T) {
	runLogged(t, func(k *Keeper, s *scriptedSource, log *bytes.Buffer) {
		require.Nil(t, k.Superseded())
		log.Reset()
		s.routes <- answer{version: 2, cursor: 20}
		synctest.Wait()
		require.Equal(t, uint64(2), k.Superseded().By)
		require.Equal(t, uint64(1), k.Superseded().Table.Version())
		require.Contains(t, log.String(), "routes in force")
	})
	var log bytes.Buffer
	logger := zerolog.New(&log)
	listChanges(logger.Info(), &routes.Changes{RoutesAdded: make([]string, maxListed+2), KeysRemoved: []string{"d1"}}).Send()
	require.Contains(t, log.String(), `"keys_removed":["d1"],"unlisted":2`)
	require.NotContains(t, log.String(), "keys_added")
}
