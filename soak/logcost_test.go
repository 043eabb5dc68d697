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
	// baseRate is the mean number of requests per second that one entry gets on a typical day.
	baseRate = 15
	// loadDuration is the duration of each load.
	loadDuration = 20 * time.Second
)

// BenchmarkLogging measures the cost of logging: two gateways serve the same load at the same time,
// one with the default log level and one that logs errors only.
//
//	go test -run '^$' -bench Logging -benchtime 1x ./soak
func BenchmarkLogging(b *testing.B) {
	for _, times := range []int{1, 3} {
		b.Run(fmt.Sprintf("%dx", times), func(b *testing.B) {
			for range b.N {
				measureLogging(b, baseRate*times)
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
	withInfo := startGateway(b, program, standins.Address(), "info")
	errorsOnly := startGateway(b, program, standins.Address(), "error")
	before := withInfo.LogBytes(b)
	done := make(chan int)
	for _, g := range []*loggedGateway{withInfo, errorsOnly} {
		go func() { done <- g.load(b, rate) }()
	}
	requests := <-done + <-done
	lines := strings.Count(withInfo.LogText(b), `"message":"request ended"`)
	b.ReportMetric(float64(lines)/float64(requests/2), "lines/request")
	b.ReportMetric(float64(withInfo.LogBytes(b)-before)/loadDuration.Seconds(), "B/s")
	b.ReportMetric(float64(withInfo.CPUTime(b))/float64(errorsOnly.CPUTime(b)), "cpu-ratio")
	b.ReportMetric(float64(withInfo.CPUTime(b).Microseconds())/float64(requests/2), "cpu-us/request")
	b.ReportMetric(0, "ns/op")
}

// loggedGateway is a gateway process with its log file.
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

// LogText returns the text of the log.
func (g *loggedGateway) LogText(b *testing.B) string {
	text, err := os.ReadFile(g.log)
	require.NoError(b, err)
	return string(text)
}

// LogBytes returns the size of the log.
func (g *loggedGateway) LogBytes(b *testing.B) int { return len(g.LogText(b)) }

// CPUTime returns the CPU time of the process's threads.
func (g *loggedGateway) CPUTime(b *testing.B) time.Duration {
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

// load sends requests at a steady rate and returns their number.
func (g *loggedGateway) load(b *testing.B, rate int) int {
	ctx, cancel := context.WithTimeout(context.Background(), loadDuration)
	defer cancel()
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	n := 0
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
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
		inFlight.Go(func() {
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
