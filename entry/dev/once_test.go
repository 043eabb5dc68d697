package dev

import (
	"fmt"
	"io"
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

// post sends a non-repeatable call to one entry; a broken connection gives status 0.
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
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err.Error()
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, "", err.Error()
	}
	return answer.StatusCode, answer.Header.Get("X-Execution"), string(data)
}

// runs counts how often the call with a tag ran at any plain service.
func (d *Deployment) runs(tag string) int {
	n := 0
	for _, p := range d.Plains {
		n += p.Stats().RunsByTag[tag]
	}
	return n
}

func (d *Deployment) awaitRun(t *testing.T, tag string) {
	t.Helper()
	deadline := time.Now().Add(settle)
	for d.runs(tag) == 0 {
		require.True(t, time.Now().Before(deadline), "the call did not run")
		time.Sleep(readyPoll)
	}
}

func onceDeployment(t *testing.T, serviceTime time.Duration) *Deployment {
	d := start(t, func(c *Config) {
		c.Engines, c.Plains, c.Entries = 0, 3, 3
		c.Plain = plain.Config{ServiceTime: serviceTime}
	})
	d.awaitEntries(t)
	return d
}

// Symptom: two trucks are sent to one tower.
// Sequence: the same call with the same key arrives at three entries at once.
// Cause: each entry finds the key free and runs the call.
func TestSameKeyAtThreeEntriesRunsOnce(t *testing.T) {
	d := onceDeployment(t, 5*time.Millisecond)
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
		require.Equal(t, 1, d.runs(key))
		require.Equal(t, texts[0], texts[1])
		require.Equal(t, texts[0], texts[2])
	}
}

// Symptom: a caller whose entry crashed tries again and the call runs twice.
// Sequence: the entry dies while the plain service works; the caller repeats the call
// with its key at another entry.
// Cause: only the dead entry knew of the call.
func TestRepeatAfterEntryDeathGetsTheFirstAnswer(t *testing.T) {
	d := onceDeployment(t, 500*time.Millisecond)
	first := make(chan int, 1)
	go func() {
		status, _, _ := d.post(0, "key", "tag", "{}")
		first <- status
	}()
	d.awaitRun(t, "tag")
	d.KillEntry(0)
	require.Zero(t, <-first)
	status, _, text := d.post(1, "key", "tag", "{}")
	require.Equal(t, http.StatusCreated, status, text)
	require.Equal(t, 1, d.runs("tag"))
}

// Symptom: a call is repeated on another VM although it ran on the one that died.
// Sequence: the agent dies while its plain service works; the caller repeats the call
// with its key, at two entries.
// Cause: the loss of the process that knew is taken for proof that the call did not run.
func TestRepeatAfterAgentDeathIsUnknown(t *testing.T) {
	d := onceDeployment(t, 500*time.Millisecond)
	first := make(chan string, 1)
	go func() {
		_, execution, _ := d.post(0, "key", "tag", "{}")
		first <- execution
	}()
	d.awaitRun(t, "tag")
	for i := range d.Agents {
		if d.Plains[i].Stats().RunsByTag["tag"] > 0 {
			d.KillAgent(i)
			require.NoError(t, d.StartAgentAgain(i))
		}
	}
	require.Contains(t, []string{"unknown", "ran"}, <-first)
	for entry := range 2 {
		status, execution, text := d.post(entry, "key", "tag", "{}")
		require.Equal(t, result.Lookup(result.FirstRunLost).HTTPStatus, status, text)
		require.Equal(t, "unknown", execution)
	}
	require.Equal(t, 1, d.runs("tag"))
}

// Each case is a fault of the platform's table while a keyed call is made; the call must
// run once, or not at all and say so.
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
	d := onceDeployment(t, 0)
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			d.Platform.Faults.Set(tc.fault)
			defer d.Platform.Faults.Set()
			status, execution, text := d.post(0, tc.name, tc.name, "{}", "X-Request-Timeout-Ms", "8000")
			require.Equal(t, tc.runs, d.runs(tc.name), text)
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

// Symptom: a call hangs for good at a plain service whose connection went silent.
// Sequence: the service takes the call and never answers.
// Cause: no time limit on the answer. Whether the call ran can not be known.
func TestSilentPlainServiceIsUnknownAtTheDeadline(t *testing.T) {
	d := onceDeployment(t, 0)
	for _, p := range d.Plains {
		p.SetFaults(faults.Fault{Operation: plain.OpWrite, Kind: faults.Silent})
	}
	status, execution, text := d.post(0, "key", "tag", "{}", "X-Request-Timeout-Ms", "700")
	require.Equal(t, http.StatusGatewayTimeout, status, text)
	require.Equal(t, "unknown", execution)
}
