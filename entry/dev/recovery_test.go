package dev

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"acaciacleat.example/core/routing"
	standinengine "acaciacleat.example/standin/engine"
	"github.com/stretchr/testify/require"
)

// longestGap reads a stream to its end and returns the longest time between two reads after fault,
// which it calls after 50 reads.
func longestGap(b *testing.B, d *Deployment, fault func()) time.Duration {
	request, err := http.NewRequest("POST", "http://"+d.Entries[0].Addr()+"/v1/chat/completions",
		strings.NewReader(`{"model":"assistant-1","stream":true,"max_tokens":400,"messages":[{"role":"user","content":"What was found?"}]}`))
	require.NoError(b, err)
	request.Header.Set("Authorization", "Bearer "+Key)
	response, err := http.DefaultClient.Do(request)
	require.NoError(b, err)
	defer response.Body.Close()
	buf := make([]byte, 4096)
	reads, last, longest := 0, time.Now(), time.Duration(0)
	for {
		_, err := response.Body.Read(buf)
		if err == io.EOF {
			return longest
		}
		require.NoError(b, err)
		reads++
		if reads > 50 {
			longest = max(longest, time.Since(last))
		}
		last = time.Now()
		if reads == 50 {
			fault()
			last = time.Now()
		}
	}
}

func recoveryDeployment(b *testing.B) *Deployment {
	config := DefaultConfig()
	config.Listen, config.OperatorListen = "127.0.0.1:0", "127.0.0.1:0"
	config.Engines, config.Plains, config.Entries, config.Relays = 3, 0, 1, true
	config.Engine = standinengine.Config{DecodeStep: 5 * time.Millisecond}
	d, err := Start(config)
	require.NoError(b, err)
	b.Cleanup(d.Stop)
	return d
}

// BenchmarkSilentLink measures the gap that a caller sees when the link that carries its response
// goes silent: the time to detect this, to redial and to resume the stream.
func BenchmarkSilentLink(b *testing.B) {
	d := recoveryDeployment(b)
	worst := time.Duration(0)
	for b.Loop() {
		worst = max(worst, longestGap(b, d, func() {
			for _, r := range d.Relays {
				r.Silence()
			}
		}))
	}
	b.ReportMetric(float64(worst.Milliseconds()), "worst-gap-ms")
}

// BenchmarkAgentDeath measures the gap that a caller sees when the agent that carries its response
// crashes: the time to detect this and to continue on another engine.
func BenchmarkAgentDeath(b *testing.B) {
	worst := time.Duration(0)
	for b.Loop() {
		d := recoveryDeployment(b)
		worst = max(worst, longestGap(b, d, func() { d.killBusyAgent(b) }))
	}
	b.ReportMetric(float64(worst.Milliseconds()), "worst-gap-ms")
}

func (d *Deployment) killBusyAgent(t testing.TB) {
	for i := range d.Agents {
		if d.Engines[i].Stats().Running > 0 {
			d.KillAgent(i)
			return
		}
	}
	require.Fail(t, "no engine is busy")
}

// BenchmarkDeadAgentDetection measures the time from the crash of an idle agent until the entry
// stops routing to it. BenchmarkDrainingAgentDetection measures the same for an agent that starts to
// drain.
func BenchmarkDeadAgentDetection(b *testing.B) {
	benchmarkDetection(b, func(d *Deployment, i int) { d.KillAgent(i) })
}

// BenchmarkDrainingAgentDetection is described at BenchmarkDeadAgentDetection.
func BenchmarkDrainingAgentDetection(b *testing.B) {
	benchmarkDetection(b, func(d *Deployment, i int) { d.Agents[i].Leave() })
}

func benchmarkDetection(b *testing.B, fault func(d *Deployment, agent int)) {
	worst := time.Duration(0)
	for b.Loop() {
		d := recoveryDeployment(b)
		longestGap(b, d, func() {})
		used := d.usedAgent(b)
		start := time.Now()
		fault(d, used)
		for d.agentState(d.agentConfigs[used].VM) == routing.Live {
			time.Sleep(time.Millisecond)
		}
		worst = max(worst, time.Since(start))
	}
	b.ReportMetric(float64(worst.Milliseconds()), "worst-ms")
}

// usedAgent returns the index of an agent that has served a request.
func (d *Deployment) usedAgent(t testing.TB) int {
	for i, e := range d.Engines {
		if e.Stats().Completed > 0 {
			return i
		}
	}
	require.Fail(t, "no engine has served")
	return 0
}

// agentState returns the state of an agent in the first entry's view.
func (d *Deployment) agentState(vm string) routing.State {
	for _, r := range d.Entries[0].View.Replicas(ModelService) {
		if r.Agent == vm {
			return r.State
		}
	}
	return routing.Dead
}
