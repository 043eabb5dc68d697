package soak_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"acaciacleat.example/platform/standin"
	"acaciacleat.example/soak"
	"github.com/stretchr/testify/require"
)

const (
	// usualRate is the number of requests a second that an entry of the first deployments
	// gets on the mean of a standard day.
	usualRate = 15
	// logRun is how long each load lasts.
	logRun = 20 * time.Second
)

// BenchmarkLogging tells what logging costs: two gateways serve the same load at the same
// time, one logging as it does by default and one writing errors only.
//
//	go test -run '^$' -bench Logging -benchtime 1x ./soak
func BenchmarkLogging(b *testing.B) {
	for _, times := range []int{1, 3} {
		b.Run(fmt.Sprintf("%dx", times), func(b *testing.B) {
			for range b.N {
				measureLogging(b, usualRate*times)
			}
		})
	}
}

func measureLogging(b *testing.B, rate int) {
	program, err := os.Executable()
	require.NoError(b, err)
	standins, err := standin.Start("127.0.0.1:0", 2, 2)
	require.NoError(b, err)
	defer standins.Stop()
	loud := startGateway(b, program, standins.Address(), "info")
	quiet := startGateway(b, program, standins.Address(), "error")
	before := loud.LogBytes(b)
	done := make(chan int)
	for _, g := range []*loggedGateway{loud, quiet} {
		go func() { done <- g.load(b, rate) }()
	}
	requests := <-done + <-done
	lines := strings.Count(loud.LogText(b), `"message":"request ended"`)
	b.ReportMetric(float64(lines)/float64(requests/2), "lines/request")
	b.ReportMetric(float64(loud.LogBytes(b)-before)/logRun.Seconds(), "B/s")
	b.ReportMetric(float64(loud.Processor(b))/float64(quiet.Processor(b)), "cpu-ratio")
	b.ReportMetric(float64(loud.Processor(b).Microseconds())/float64(requests/2), "cpu-us/request")
	b.ReportMetric(0, "ns/op")
}

// loggedGateway is a gateway process with its log.
type loggedGateway struct {
	*soak.Gateway
	log string
}

func startGateway(b *testing.B, program, store, level string) *loggedGateway {
	dir := b.TempDir()
	g, err := soak.StartGateway(program, dir, "entry-"+level, store, level)
	require.NoError(b, err)
	b.Cleanup(g.Kill)
	require.Eventually(b, g.Ready, 10*time.Second, 10*time.Millisecond)
	return &loggedGateway{Gateway: g, log: filepath.Join(dir, "entry-"+level+".log")}
}

// LogText returns what was logged.
func (g *loggedGateway) LogText(b *testing.B) string {
	text, err := os.ReadFile(g.log)
	require.NoError(b, err)
	return string(text)
}

// LogBytes returns the size of what was logged.
func (g *loggedGateway) LogBytes(b *testing.B) int { return len(g.LogText(b)) }

// Processor returns the processor time of the process's threads.
func (g *loggedGateway) Processor(b *testing.B) time.Duration {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", g.PID()))
	require.NoError(b, err)
	var sum time.Duration
	for _, file := range files {
		text, err := os.ReadFile(file)
		require.NoError(b, err)
		first, _, _ := strings.Cut(string(text), " ")
		nanoseconds, err := strconv.ParseInt(first, 10, 64)
		require.NoError(b, err)
		sum += time.Duration(nanoseconds)
	}
	return sum
}

// load sends requests at a steady rate and returns how many there were.
func (g *loggedGateway) load(b *testing.B, rate int) int {
	ctx, cancel := context.WithTimeout(context.Background(), logRun)
	defer cancel()
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	n := 0
	var flying sync.WaitGroup
	defer flying.Wait()
	for {
		select {
		case <-ctx.Done():
			return n
		case <-ticker.C:
		}
		n++
		id := fmt.Sprintf("load-%d", n)
		call := standin.Call{ID: id, Path: "/ask/" + id, Body: "body", PromptTokens: 5000, OutputTokens: 170}
		request, err := call.Request(g.Callers())
		if err != nil {
			b.Error(err)
			return n
		}
		flying.Go(func() {
			answer, err := http.DefaultClient.Do(request)
			if err != nil {
				b.Error(err)
				return
			}
			defer answer.Body.Close()
			if _, err := io.Copy(io.Discard, answer.Body); err != nil {
				b.Error(err)
			}
		})
	}
}
