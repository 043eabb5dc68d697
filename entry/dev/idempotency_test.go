package dev

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"acaciacleat.example/core/result"
	"acaciacleat.example/standin/faults"
	"acaciacleat.example/standin/plain"
	"github.com/stretchr/testify/require"
)

// post sends a non-repeatable call to one entry; status is 0 if the connection breaks.
func (d *Deployment) post(entry int, key, tag, body string, header ...string) (status int, execution, text string) {
	request, err := http.NewRequest("POST", "http://"+d.Entries[entry].Addr()+"/v1/services/parts/jobs", strings.NewReader(body))
	if err != nil {
		return 0, "", err.Error()
	}
	request.Header.Set("Authorization", "Bearer "+Key)
	request.Header.Set("X-Call-Tag", tag)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err.Error()
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, "", err.Error()
	}
	return response.StatusCode, response.Header.Get("X-Execution"), string(data)
}

// runCount returns how often the call with a tag ran, over all plain services.
func (d *Deployment) runCount(tag string) int {
	n := 0
	for _, p := range d.Plains {
		n += p.Stats().RunsByTag[tag]
	}
	return n
}

func (d *Deployment) waitForRun(t *testing.T, tag string) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for d.runCount(tag) == 0 {
		require.True(t, time.Now().Before(deadline), "the call did not run")
		time.Sleep(readyPollInterval)
	}
}

func plainDeployment(t *testing.T, serviceTime time.Duration) *Deployment {
	d := startDeployment(t, func(c *Config) {
		c.Engines, c.Plains, c.Entries = 0, 3, 3
		c.Plain = plain.Config{ServiceTime: serviceTime}
	})
	d.waitForEntries(t)
	return d
}

// The same call with the same key arrives at three entries concurrently. Without an atomic claim,
// each entry would find the key free and run the call.
func TestSameKeyAtThreeEntriesRunsOnce(t *testing.T) {
	d := plainDeployment(t, 5*time.Millisecond)
	for i := range 20 {
		key := fmt.Sprint("race-", i)
		var wait sync.WaitGroup
		texts := make([]string, len(d.Entries))
		for entry := range d.Entries {
			wait.Go(func() {
				status, _, text := d.post(entry, key, key, `{"part":"pump"}`)
				require.Equal(t, http.StatusCreated, status, text)
				texts[entry] = text
			})
		}
		wait.Wait()
		require.Equal(t, 1, d.runCount(key))
		require.Equal(t, texts[0], texts[1])
		require.Equal(t, texts[0], texts[2])
	}
}

// An entry crashes while a plain service runs a call, and the caller repeats the call with its key at
// another entry. If only the crashed entry knew of the call, it would run twice.
func TestRetryAfterEntryCrashGetsTheFirstAnswer(t *testing.T) {
	d := plainDeployment(t, 500*time.Millisecond)
	first := make(chan int, 1)
	go func() {
		status, _, _ := d.post(0, "key", "tag", "{}")
		first <- status
	}()
	d.waitForRun(t, "tag")
	d.KillEntry(0)
	require.Zero(t, <-first)
	status, _, text := d.post(1, "key", "tag", "{}")
	require.Equal(t, http.StatusCreated, status, text)
	require.Equal(t, 1, d.runCount("tag"))
}

// An agent crashes while its plain service runs a call, and the caller repeats the call with its key
// at two entries. The restarted agent doesn't know the call. This doesn't prove that the call never ran,
// so it must not run on another VM.
func TestRetryAfterAgentCrashIsUnknown(t *testing.T) {
	d := plainDeployment(t, 500*time.Millisecond)
	first := make(chan string, 1)
	go func() {
		_, execution, _ := d.post(0, "key", "tag", "{}")
		first <- execution
	}()
	d.waitForRun(t, "tag")
	for i := range d.Agents {
		if d.Plains[i].Stats().RunsByTag["tag"] > 0 {
			d.KillAgent(i)
			require.NoError(t, d.RestartAgent(i))
		}
	}
	require.Contains(t, []string{"unknown", "ran"}, <-first)
	for entry := range 2 {
		status, execution, text := d.post(entry, "key", "tag", "{}")
		require.Equal(t, result.Lookup(result.FirstRunLost).HTTPStatus, status, text)
		require.Equal(t, "unknown", execution)
	}
	require.Equal(t, 1, d.runCount("tag"))
}

// Each case injects a fault into the platform's table during a keyed call. The call must run exactly
// once, or not at all and be reported as not run.
func TestTableFaults(t *testing.T) {
	cases := []struct {
		name  string
		fault faults.Fault
		code  result.Code
		runs  int
	}{
		{"answer lost after the write", faults.Fault{Operation: "table.commit", Kind: faults.AnswerLost, Count: 1}, result.OK, 1},
		{"two answers lost", faults.Fault{Operation: "table.commit", Kind: faults.AnswerLost, Count: 2}, result.OK, 1},
		{"slow", faults.Fault{Operation: "table.commit", Kind: faults.Slow, Delay: 300 * time.Millisecond, Count: 1}, result.OK, 1},
		{"silent once", faults.Fault{Operation: "table.commit", Kind: faults.Silent, Count: 1}, result.OK, 1},
		{"outage", faults.Fault{Operation: "table.commit", Kind: faults.Outage}, result.TableUnavailable, 0},
	}
	d := plainDeployment(t, 0)
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			d.Platform.Faults.Set(tc.fault)
			defer d.Platform.Faults.Set()
			status, execution, text := d.post(0, tc.name, tc.name, "{}", "X-Request-Timeout-Ms", "8000")
			require.Equal(t, tc.runs, d.runCount(tc.name), text)
			if tc.code == result.OK {
				require.Equal(t, http.StatusCreated, status, text)
				return
			}
			require.Equal(t, result.Lookup(tc.code).HTTPStatus, status, text)
			require.Equal(t, "not-run", execution)
			status, _, text = d.post(0, "", tc.name, "{}")
			require.Equal(t, http.StatusCreated, status, "a call without a key needs no table: %s", text)
		})
	}
}

// A plain service accepts a call and never responds. The call must end at its deadline, with unknown
// execution because the service may have run it.
func TestSilentPlainServiceIsUnknownAtTheDeadline(t *testing.T) {
	d := plainDeployment(t, 0)
	for _, p := range d.Plains {
		p.SetFaults(faults.Fault{Operation: plain.OpWrite, Kind: faults.Silent})
	}
	status, execution, text := d.post(0, "key", "tag", "{}", "X-Request-Timeout-Ms", "700")
	require.Equal(t, http.StatusGatewayTimeout, status, text)
	require.Equal(t, "unknown", execution)
}

// leaveEarly sends a call and closes its connection after the first bytes of the answer.
func (d *Deployment) leaveEarly(entry int, key, tag string) error {
	conn, err := net.Dial("tcp", d.Entries[entry].Addr())
	if err != nil {
		return err
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST /v1/services/parts/jobs HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nIdempotency-Key: %s\r\nX-Call-Tag: %s\r\nContent-Length: 4\r\n\r\nbody", Key, key, tag)
	_, err = conn.Read(make([]byte, 1))
	return err
}

// Guards against a repetition that hangs because the first caller has left while its answer was written.
func TestRepetitionIsAnsweredAfterTheFirstCallerLeft(t *testing.T) {
	const callers, each = 32, 40
	d := plainDeployment(t, 0)
	var all sync.WaitGroup
	for caller := range callers {
		all.Go(func() {
			for n := range each {
				key := fmt.Sprintf("left-%d-%d", caller, n)
				entry := n % len(d.Entries)
				if err := d.leaveEarly(entry, key, key); err != nil {
					t.Errorf("%s: %v", key, err)
				}
				began := time.Now()
				status, execution, text := d.post(entry, key, key, "body")
				if status != http.StatusCreated || time.Since(began) > 5*time.Second {
					t.Errorf("%s: status %d, execution %q after %v: %s", key, status, execution, time.Since(began), text)
				}
			}
		})
	}
	all.Wait()
}
