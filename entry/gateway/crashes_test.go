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

// crashFixture holds a CrashDetector for an upstream whose address responds with a given dial error.
type crashFixture struct {
	CrashDetector
	log          bytes.Buffer
	metrics      *Metrics
	dials        int
	crashReports int
	// replacement reports whether the registry has given the address to another upstream.
	replacement bool
}

func newCrashFixture(dial error) *crashFixture {
	w := &crashFixture{metrics: NewMetrics()}
	ctx, stop := context.WithCancel(context.Background())
	w.CrashDetector = CrashDetector{
		ctx: ctx, stop: stop,
		dial: func(context.Context, string, string) (net.Conn, error) {
			w.dials++
			if dial != nil {
				return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", dial)}
			}
			conn, other := net.Pipe()
			_ = other.Close() // Nothing reads from it.
			return conn, nil
		},
		isLeaving: func(upstream dispatch.Upstream) bool { return upstream.Draining },
		now:       time.Now, log: zerolog.New(&w.log), countProof: w.metrics.answerBroken,
		isReplaced: func(dispatch.Upstream) bool { return w.replacement },
		broken:     make(map[string]*brokenUpstream),
		onCrash:    func(_ dispatch.Upstream, affected []quarantine.Suspect) { w.crashReports += len(affected) },
	}
	return w
}

// advance advances virtual time and waits for all that is due by then.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

var (
	engine         = dispatch.Upstream{ID: "engine-1", Address: "192.0.2.1:80"}
	suspectRequest = suspect{Suspect: quarantine.Suspect{Request: "r1", Print: fingerprint.Of(fingerprint.Request{Path: "/ask"})}}
)

// Dialling the upstream after a broken answer shows whether its process or only the connection
// ended.
func TestBrokenAnswersAreClassifiedByDialing(t *testing.T) {
	cases := map[string]struct {
		dial  error
		proof proof
		line  string
	}{
		"crashed":     {syscall.ECONNREFUSED, dialRefused, "upstream ended under requests"},
		"connection":  {nil, listening, "answers broke off; nothing shows"},
		"unreachable": {syscall.ETIMEDOUT, noProof, "answers broke off; nothing shows"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newCrashFixture(c.dial)
				w.answerBroken(engine, suspectRequest)
				w.answerBroken(engine, suspect{Suspect: quarantine.Suspect{Request: "r2"}})
				advance(confirmDelay)
				require.Equal(t, 1, w.dials, "one dial for all requests of an upstream")
				require.Contains(t, w.log.String(), c.line)
				require.Equal(t, 1.0, testutil.ToFloat64(w.metrics.broken.WithLabelValues(string(c.proof))))
				if c.proof.ended() {
					require.Contains(t, w.log.String(), suspectRequest.Print.String())
					require.Contains(t, w.log.String(), `"in_hand":2`)
					require.Equal(t, 2, w.crashReports)
				} else {
					require.Zero(t, w.crashReports)
				}
			})
		})
	}
}

// An upstream that restarted before its address was dialled is detected as crashed by its next
// incarnation.
func TestCrashIsProvedByReplacementAtTheAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCrashFixture(nil)
		w.answerBroken(engine, suspectRequest)
		advance(time.Second)
		w.upstreamEnded(engine, replaced)
		require.Contains(t, w.log.String(), `"proof":"replaced"`)
		w.upstreamEnded(engine, replaced)
		require.Equal(t, 1.0, testutil.ToFloat64(w.metrics.broken.WithLabelValues(string(replaced))), "reported once")
	})
}

// The registry proves a crash where the address accepts connections at all times, as a proxy
// does.
func TestCrashIsProvedByTheRegistry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCrashFixture(nil)
		w.answerBroken(engine, suspectRequest)
		advance(time.Second)
		w.registryChanged()
		require.Zero(t, w.crashReports)
		w.replacement = true
		w.registryChanged()
		require.Equal(t, 1, w.crashReports)
		w.registryChanged()
		require.Equal(t, 1, w.crashReports, "reported once")
	})
}

// The end of an upstream that was due to leave is no crash.
func TestEndOfALeavingUpstreamIsNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCrashFixture(syscall.ECONNREFUSED)
		leaving := engine
		leaving.Draining = true
		w.answerBroken(leaving, suspectRequest)
		advance(time.Second)
		require.Contains(t, w.log.String(), `"leaving":true`)
		require.Zero(t, w.crashReports)
	})
}

// Guards against blaming requests for the crash of an upstream that had ended before they were sent.
func TestRequestSentAfterTheEndIsNoSuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCrashFixture(syscall.ECONNREFUSED)
		before, after := suspectRequest, suspectRequest
		before.sentAt = time.Now()
		w.answerBroken(engine, before)
		advance(confirmDelay)
		require.Equal(t, 1, w.crashReports)
		w.answerBroken(engine, before)
		require.Equal(t, 2, w.crashReports, "sent before, and broken off later")
		advance(time.Millisecond)
		after.sentAt = time.Now()
		w.answerBroken(engine, after)
		require.Equal(t, 2, w.crashReports)
	})
}

// Answers that broke off long before an upstream ended are not attributed to its end.
func TestOldBrokenAnswersAreNotReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCrashFixture(nil)
		w.answerBroken(engine, suspectRequest)
		advance(suspectTTL + time.Second)
		w.upstreamEnded(engine, restarted)
		require.NotContains(t, w.log.String(), "ended under")
		w.answerBroken(dispatch.Upstream{ID: "engine-2"}, suspectRequest)
		require.Len(t, w.broken, 1, "the old record is deleted")
		advance(time.Second)
	})
}

func TestSuspectsOfOneUpstreamAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCrashFixture(syscall.ECONNREFUSED)
		for range 2 * maxSuspects {
			w.answerBroken(engine, suspectRequest)
		}
		advance(time.Second)
		require.Len(t, w.broken[engine.ID].suspects, maxSuspects)
	})
}

// Guards against an entry that reports crashes after it has been stopped.
func TestStoppedCrashDetectorReportsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCrashFixture(syscall.ECONNREFUSED)
		w.answerBroken(engine, suspectRequest)
		w.Stop()
		w.answerBroken(engine, suspectRequest)
		advance(time.Second)
		require.Zero(t, w.crashReports)
		require.Empty(t, w.log.String())
	})
}
