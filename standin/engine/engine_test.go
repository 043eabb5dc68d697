package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	_ "acaciacleat.example/core/seeded"
	peer "acaciacleat.example/peers/engine"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// generateRequest describes a generation.
type generateRequest struct {
	id           string
	prompt       string
	maxTokens    int
	priority     int
	timeLeft     time.Duration
	continueFrom peer.Continuation
}

// generateResult is the parsed answer to a generation.
type generateResult struct {
	status           int
	text             string
	reason           string
	usage            peer.Usage
	errorType        string
	timeToFirstToken time.Duration
	duration         time.Duration
}

// recorder records the response and the time of its first token.
type recorder struct {
	*httptest.ResponseRecorder
	firstTokenAt time.Time
}

func (r *recorder) Write(p []byte) (int, error) {
	if r.firstTokenAt.IsZero() && strings.HasPrefix(string(p), "data:") {
		r.firstTokenAt = time.Now()
	}
	return r.ResponseRecorder.Write(p)
}

func generate(ctx context.Context, e *Engine, a generateRequest) generateResult {
	fields := map[string]any{"model": DefaultModel, "prompt": a.prompt, "stream": true, "max_tokens": a.maxTokens}
	if a.continueFrom.Tokens > 0 {
		fields["continue_from"] = a.continueFrom
	}
	body, _ := json.Marshal(fields)
	r := httptest.NewRequestWithContext(ctx, "POST", peer.PathCompletions, strings.NewReader(string(body)))
	r.Header.Set(peer.HeaderRequestID, a.id)
	r.Header.Set(peer.HeaderPriority, strconv.Itoa(a.priority))
	// A request that never gets memory must fail its test instead of blocking it.
	timeLeft := orDefault(a.timeLeft, time.Hour)
	r.Header.Set(peer.HeaderTimeLeft, strconv.FormatInt(timeLeft.Milliseconds(), 10))
	w := &recorder{ResponseRecorder: httptest.NewRecorder()}
	begin := time.Now()
	e.ServeHTTP(w, r)
	g := parse(w.Body.String())
	g.status, g.timeToFirstToken, g.duration = w.Code, w.firstTokenAt.Sub(begin), time.Since(begin)
	return g
}

func parse(stream string) generateResult {
	var g generateResult
	lines := bufio.NewScanner(strings.NewReader(stream))
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok || data == peer.DoneMarker {
			continue
		}
		var chunk peer.Chunk
		_ = json.Unmarshal([]byte(data), &chunk)
		for _, c := range chunk.Choices {
			g.text += c.Text
			if c.FinishReason != nil {
				g.reason = *c.FinishReason
			}
		}
		if chunk.Usage != nil {
			g.usage = *chunk.Usage
		}
		if chunk.Error != nil {
			g.errorType = chunk.Error.Type
		}
	}
	return g
}

func order(e *Engine, o peer.Order) int {
	body, _ := json.Marshal(o)
	w := httptest.NewRecorder()
	e.ServeHTTP(w, httptest.NewRequest("POST", peer.PathOrders, strings.NewReader(string(body))))
	return w.Code
}

// promptOf returns a prompt of the given length in tokens, different for each salt.
func promptOf(salt string, tokens int) string {
	return salt + strings.Repeat("abcd", tokens-peer.TokensOf(len(salt)))
}

// A continuation on another engine must produce exactly the missing tokens, wherever the first run
// stopped; a continuation of another prompt's answer is refused.
func TestContinuationAtEachIndexGivesTheWholeAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Config{AnswerTokens: 80})
		whole := generate(t.Context(), e, generateRequest{id: "a", prompt: "is the brake worn?"})
		require.Equal(t, "stop", whole.reason)
		pieces := strings.SplitAfter(strings.TrimSuffix(whole.text, " "), " ")
		require.Len(t, pieces, whole.usage.CompletionTokens)
		delivered := ""
		for i, piece := range pieces {
			other := New(Config{AnswerTokens: 80})
			rest := generate(t.Context(), other, generateRequest{id: "a", prompt: "is the brake worn?", continueFrom: peer.Continuation{Text: delivered, Tokens: i}})
			require.Equal(t, whole.text, delivered+rest.text, "continued after %d tokens", i)
			require.Equal(t, whole.usage, rest.usage)
			require.Equal(t, whole.reason, rest.reason)
			delivered += piece
			if i < len(pieces)-1 {
				require.Equal(t, delivered, whole.text[:len(delivered)])
			}
		}
		foreign := generate(t.Context(), e, generateRequest{id: "a", prompt: "another prompt", continueFrom: peer.Continuation{Text: delivered, Tokens: len(pieces)}})
		require.Equal(t, http.StatusBadRequest, foreign.status)
	})
}

// After any mix of requests, reservations, cancellations, closed connections, deadlines and
// expiries all memory must be released. The test detects an end that releases no memory and two ends
// that release the same memory.
func TestAllMemoryIsReleased(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		// rapid fails by a panic, which it must see on its own goroutine.
		var failed any
		synctest.Test(t, func(*testing.T) {
			defer func() { failed = recover() }()
			checkMemory(rt)
		})
		if failed != nil {
			panic(failed)
		}
	})
}

func checkMemory(t *rapid.T) {
	e := New(Config{
		EngineTokens: 8000,
		MaxBatch:     rapid.IntRange(1, 6).Draw(t, "batch"),
		Preempt:      rapid.Bool().Draw(t, "preempt"),
		AnswerTokens: 100,
	})
	ids := rapid.SampledFrom([]string{"a", "b", "c", "d"})
	tokens := rapid.IntRange(1, 5000)
	results := make(chan generateResult, 64)
	requested := 0
	for range rapid.IntRange(1, 30).Draw(t, "operations") {
		id := ids.Draw(t, "id")
		switch rapid.IntRange(0, 4).Draw(t, "operation") {
		case 0, 1:
			requested++
			a := generateRequest{id: id, prompt: promptOf(id, tokens.Draw(t, "prompt")+1), maxTokens: rapid.IntRange(1, 60).Draw(t, "max")}
			a.priority = rapid.IntRange(0, 2).Draw(t, "priority")
			a.timeLeft = time.Duration(rapid.IntRange(0, 800).Draw(t, "time left")) * time.Millisecond
			disconnectAfter := time.Duration(rapid.IntRange(1, 2000).Draw(t, "connection closes")) * time.Millisecond
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), disconnectAfter)
				defer cancel()
				results <- generate(ctx, e, a)
			}()
		case 2:
			e.cancelRuns(id, "")
		case 3:
			e.setReservation(id, int64(tokens.Draw(t, "reserved")), time.Duration(rapid.IntRange(1, 500).Draw(t, "ttl"))*time.Millisecond)
		case 4:
			time.Sleep(time.Duration(rapid.IntRange(1, 300).Draw(t, "pause")) * time.Millisecond)
		}
		synctest.Wait()
		checkAccounting(t, e)
	}
	for range requested {
		g := <-results
		if g.reason != "" {
			require.Equal(t, g.usage.CompletionTokens, strings.Count(g.text, " "))
		}
	}
	time.Sleep(time.Second)
	synctest.Wait()
	stats := e.Stats()
	require.Zero(t, stats.HeldTokens)
	require.Zero(t, stats.Running+stats.Waiting+stats.Reservations)
	require.Empty(t, e.sequences)
	require.False(t, e.stepLoopRunning)
}

// checkAccounting compares the sum of the allocations with the engine's counter.
func checkAccounting(t *rapid.T, e *Engine) {
	report := e.laggingReport()
	sum := int64(0)
	for _, allocation := range report.Allocations {
		sum += allocation.Tokens
	}
	require.Equal(t, sum, report.UsedTokens)
	require.LessOrEqual(t, report.UsedTokens+report.CachedTokens, report.CapacityTokens)
}

// A cached prefix is not prefilled again, its events become visible after their delay, and the cache
// shrinks when memory is reserved, evicting the beginning of a prefix last.
func TestPrefixCacheSavesPrefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Config{EventDelay: time.Second})
		prompt := promptOf("circuit history ", 100_000)
		cold := generate(t.Context(), e, generateRequest{id: "a", prompt: prompt, maxTokens: 2})
		warm := generate(t.Context(), e, generateRequest{id: "b", prompt: prompt + "and?", maxTokens: 2})
		require.Zero(t, cold.usage.CachedTokens)
		require.Equal(t, 100_000/peer.BlockTokens*peer.BlockTokens, warm.usage.CachedTokens)
		require.InDelta(t, 2.5, cold.timeToFirstToken.Seconds(), 0.01, "100k tokens at 40k a second")
		require.Less(t, warm.timeToFirstToken, 50*time.Millisecond)
		require.Less(t, len(e.events.after(0, time.Now())), 195, "delayed events are not visible yet")
		time.Sleep(time.Second)
		events := e.events.after(0, time.Now())
		require.Len(t, events, 195)
		require.Equal(t, peer.PrefixBlocks(DefaultModel, prompt)[7], events[7].Block)

		e.setReservation("r", DefaultEngineTokens-1024, time.Minute)
		require.Equal(t, int64(1024), e.Stats().CachedTokens, "the cache shrinks")
		again := generate(t.Context(), e, generateRequest{id: "c", prompt: promptOf("circuit history ", 1000), maxTokens: 2})
		require.NotZero(t, again.usage.CachedTokens, "the beginning of a prefix is evicted last")
	})
}

// Lost events must leave gaps in the sequence numbers, by which readers detect the loss.
func TestEventsHaveGaps(t *testing.T) {
	l := eventLog{config: Config{EventLoss: 0.25, EventsRetained: 1000, Seed: 1}}
	for i := range 1000 {
		l.add(uint64(i), false, time.Time{})
	}
	events := l.after(100, time.Time{}.Add(time.Hour))
	require.InDelta(t, 675, len(events), 50)
	for i, event := range events {
		require.Equal(t, event.Seq-1, event.Block)
		require.True(t, i == 0 || event.Seq > events[i-1].Seq)
	}
}

// With preemption, a short request of higher priority starts while a long one occupies the memory.
// The preempted request must still give its whole answer and count as one run.
func TestPriorityAndPreemption(t *testing.T) {
	for _, preempt := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			e := New(Config{EngineTokens: 10_000, Preempt: preempt})
			long := make(chan generateResult, 1)
			go func() {
				long <- generate(t.Context(), e, generateRequest{id: "long", prompt: promptOf("l", 9000), maxTokens: 500, priority: 5})
			}()
			time.Sleep(time.Second)
			short := generate(t.Context(), e, generateRequest{id: "short", prompt: promptOf("s", 2000), maxTokens: 10})
			require.Equal(t, preempt, short.timeToFirstToken < 500*time.Millisecond)
			whole := <-long
			require.Equal(t, newAnswer(DefaultModel, promptOf("l", 9000)).text(0, whole.usage.CompletionTokens), whole.text)
			require.Equal(t, 1, e.Stats().Runs["long"])
		})
	}
}

// A batch shares the steps: a decode step takes only a little longer for eight requests than for
// one, and a long prompt slows down the requests that decode beside it.
func TestContinuousBatching(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Config{})
		alone := generate(t.Context(), e, generateRequest{id: "alone", prompt: "x", maxTokens: 50})
		done := make(chan generateResult, 8)
		for i := range 8 {
			go func() {
				done <- generate(t.Context(), e, generateRequest{id: fmt.Sprint(i), prompt: "x", maxTokens: 50})
			}()
		}
		for range 8 {
			require.Less(t, (<-done).duration, alone.duration*11/10)
		}
		go func() {
			done <- generate(t.Context(), e, generateRequest{id: "long", prompt: promptOf("l", 200_000), maxTokens: 1})
		}()
		time.Sleep(time.Millisecond)
		beside := generate(t.Context(), e, generateRequest{id: "beside", prompt: "x", maxTokens: 50})
		require.Greater(t, beside.duration, 3*alone.duration)
		<-done
	})
}

// A report must show a reservation, and its expiry, exactly one ReportLag late.
func TestReportLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Config{ReportLag: time.Second})
		e.setReservation("r", 100, 3*time.Second)
		time.Sleep(999 * time.Millisecond)
		require.Zero(t, e.laggingReport().UsedTokens)
		time.Sleep(time.Millisecond)
		require.Equal(t, []peer.Allocation{{ID: "r", Tokens: 100, Reserved: true}}, e.laggingReport().Allocations)
		time.Sleep(2900 * time.Millisecond)
		require.Equal(t, int64(100), e.laggingReport().UsedTokens, "expired, but not yet reported")
		time.Sleep(100 * time.Millisecond)
		require.Zero(t, e.laggingReport().UsedTokens)
	})
}

// A model load completes the accepted requests, refuses new ones, and takes the transfer time of the
// artifact. An order with an outdated fencing token is refused if the engine checks the tokens.
func TestOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Config{CheckFence: true, ModelBytes: 4e9, WeightRate: 1e9})
		running := make(chan generateResult, 1)
		go func() { running <- generate(t.Context(), e, generateRequest{id: "a", prompt: "x", maxTokens: 100}) }()
		synctest.Wait()
		loaded := make(chan int, 1)
		begin := time.Now()
		go func() { loaded <- order(e, peer.Order{Kind: peer.OrderLoadModel, Name: "assistant-2", Fence: 7}) }()
		synctest.Wait()
		require.Equal(t, http.StatusServiceUnavailable, generate(t.Context(), e, generateRequest{id: "b", prompt: "x", maxTokens: 1}).status)
		whole := <-running
		require.Equal(t, 100, whole.usage.CompletionTokens, "accepted requests finish")
		require.Equal(t, http.StatusNoContent, <-loaded)
		require.Equal(t, 4*time.Second, (time.Since(begin) - whole.duration).Round(10*time.Millisecond))
		require.Equal(t, http.StatusNotFound, generate(t.Context(), e, generateRequest{id: "c", prompt: "x", maxTokens: 1}).status)
		require.Equal(t, http.StatusConflict, order(e, peer.Order{Kind: peer.OrderRole, Name: "prefill", Fence: 6}))
		require.Equal(t, http.StatusNoContent, order(e, peer.Order{Kind: peer.OrderRole, Name: "prefill", Fence: 7}))
		require.Equal(t, uint64(7), e.laggingReport().Fence)
		unchecked := New(Config{})
		require.Equal(t, http.StatusNoContent, order(unchecked, peer.Order{Kind: peer.OrderRole, Name: "a", Fence: 9}))
		require.Equal(t, http.StatusNoContent, order(unchecked, peer.Order{Kind: peer.OrderRole, Name: "b", Fence: 1}))
	})
}

// Faults set over HTTP must apply to calls and to streams, and a refused call must not count as a run.
func TestFaultsAndStatsOverHTTP(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Config{})
		w := httptest.NewRecorder()
		list := `[{"operation":"generate","kind":"outage","count":1},{"operation":"stream","kind":"slow","delay":1000000000,"after_tokens":2}]`
		e.ServeHTTP(w, httptest.NewRequest("PUT", "/faults", strings.NewReader(list)))
		require.Equal(t, http.StatusNoContent, w.Code)
		require.Equal(t, http.StatusServiceUnavailable, generate(t.Context(), e, generateRequest{id: "a", prompt: "x", maxTokens: 4}).status)
		slow := generate(t.Context(), e, generateRequest{id: "a", prompt: "x", maxTokens: 4})
		require.Equal(t, 4, strings.Count(slow.text, " "))
		require.Greater(t, slow.duration, time.Second)
		w = httptest.NewRecorder()
		e.ServeHTTP(w, httptest.NewRequest("GET", "/stats", nil))
		var stats Stats
		require.NoError(t, json.Unmarshal(w.Body.Bytes(), &stats))
		require.Equal(t, map[string]int{"a": 1}, stats.Runs)
	})
}

func BenchmarkReadMillionTokenPrompt(b *testing.B) {
	e := New(Config{})
	body, _ := json.Marshal(map[string]any{"prompt": promptOf("p", 1_000_000), "stream": true})
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		r := httptest.NewRequest("POST", peer.PathCompletions, strings.NewReader(string(body)))
		if _, err := e.parseRequest(httptest.NewRecorder(), r, false); err != nil {
			b.Fatal(err)
		}
	}
}
