package gateway

import (
	"bytes"
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/core/fingerprint"
	"acaciacleat.example/entry/quarantine"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// watched is Crashes before an upstream whose address answers as dial says.
type watched struct {
	Crashes
	log     bytes.Buffer
	metrics *Metrics
	dials   int
	blamed  int
	// replacement says that the registry has given the address to another upstream.
	replacement bool
}

func watchCrashes(dial error) *watched {
	w := &watched{metrics: NewMetrics()}
	w.Crashes = Crashes{
		dial: func(context.Context, string, string) (net.Conn, error) {
			w.dials++
			if dial != nil {
				return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", dial)}
			}
			conn, other := net.Pipe()
			_ = other.Close() // Nobody reads from it.
			return conn, nil
		},
		leaves: func(upstream dispatch.Upstream) bool { return upstream.Draining },
		now:    time.Now, log: zerolog.New(&w.log), count: w.metrics.broke,
		replaced: func(dispatch.Upstream) bool { return w.replacement },
		broken:   make(map[string]*brokenUpstream),
		crashed:  func(_ dispatch.Upstream, under []quarantine.Suspect) { w.blamed += len(under) },
	}
	return w
}

// pass lets time pass, and all that is due by then happen.
func pass(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

var (
	engine   = dispatch.Upstream{ID: "engine-1", Address: "192.0.2.1:80"}
	question = suspect{Suspect: quarantine.Suspect{Request: "r1", Print: fingerprint.Of(fingerprint.Request{Path: "/ask"})}}
)

// A broken answer says by itself whether the upstream's process ended or only its connection.
func TestBrokenAnswersTellCrashesFromBrokenConnections(t *testing.T) {
	cases := map[string]struct {
		dial  error
		proof proof
		line  string
	}{
		"crashed":    {syscall.ECONNREFUSED, refusedDial, "upstream ended under requests"},
		"connection": {nil, listening, "answers broke off; nothing shows"},
		"cut off":    {syscall.ETIMEDOUT, noProof, "answers broke off; nothing shows"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := watchCrashes(c.dial)
				w.broke(engine, question)
				w.broke(engine, suspect{Suspect: quarantine.Suspect{Request: "r2"}})
				pass(confirmAfter)
				require.Equal(t, 1, w.dials, "one try for all requests of an upstream")
				require.Contains(t, w.log.String(), c.line)
				require.Equal(t, 1.0, testutil.ToFloat64(w.metrics.broken.WithLabelValues(string(c.proof))))
				if c.proof.ended() {
					require.Contains(t, w.log.String(), question.Print.String())
					require.Contains(t, w.log.String(), `"in_hand":2`)
					require.Equal(t, 2, w.blamed)
				} else {
					require.Zero(t, w.blamed)
				}
			})
		})
	}
}

// An upstream that is back before its address was tried shows its crash by its next life.
func TestCrashIsProvedByTheNextLifeAtTheAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := watchCrashes(nil)
		w.broke(engine, question)
		pass(time.Second)
		w.ended(engine, replaced)
		require.Contains(t, w.log.String(), `"proof":"replaced"`)
		w.ended(engine, replaced)
		require.Equal(t, 1.0, testutil.ToFloat64(w.metrics.broken.WithLabelValues(string(replaced))), "told once")
	})
}

// The registry tells of a crash where the address always takes connections, as a proxy's does.
func TestCrashIsProvedByTheRegistry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := watchCrashes(nil)
		w.broke(engine, question)
		pass(time.Second)
		w.registryChanged()
		require.Zero(t, w.blamed)
		w.replacement = true
		w.registryChanged()
		require.Equal(t, 1, w.blamed)
		w.registryChanged()
		require.Equal(t, 1, w.blamed, "told once")
	})
}

// The end of an upstream that was to leave is no crash.
func TestEndOfALeavingUpstreamIsToldAsSuch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := watchCrashes(syscall.ECONNREFUSED)
		leaving := engine
		leaving.Draining = true
		w.broke(leaving, question)
		pass(time.Second)
		require.Contains(t, w.log.String(), `"leaving":true`)
		require.Zero(t, w.blamed)
	})
}

// What broke off long before an upstream ended is not blamed for it.
func TestOldBrokenAnswersAreNotBlamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := watchCrashes(nil)
		w.broke(engine, question)
		pass(suspectedFor + time.Second)
		w.ended(engine, restarted)
		require.NotContains(t, w.log.String(), "ended under")
		w.broke(dispatch.Upstream{ID: "engine-2"}, question)
		require.Len(t, w.broken, 1, "it is forgotten")
		pass(time.Second)
	})
}

func TestSuspectsOfOneUpstreamAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := watchCrashes(syscall.ECONNREFUSED)
		for range 2 * mostSuspects {
			w.broke(engine, question)
		}
		pass(time.Second)
		require.Len(t, w.broken[engine.ID].suspects, mostSuspects)
	})
}
