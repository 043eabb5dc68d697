package engine_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/peers/engine"
	standin "acaciacleat.example/standin/engine"
	"acaciacleat.example/standin/faults"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

var id = call.ID{7}

// fast configures an engine whose steps take microseconds.
var fast = standin.Config{DecodeStep: time.Microsecond, DecodePerSeq: time.Nanosecond, PrefillRate: 1e9}

// endless configures an engine whose answers do not end within a test.
var endless = standin.Config{DecodeStep: time.Millisecond, AnswerTokens: 1e6}

func start(t *testing.T, config standin.Config) (*standin.Engine, *engine.HTTP) {
	t.Helper()
	e := standin.New(config)
	server := httptest.NewServer(e)
	client := engine.NewHTTP(server.URL)
	t.Cleanup(func() {
		e.Close()
		client.CloseIdle()
		server.Close()
	})
	return e, client
}

func request(prompt string, maxTokens int) engine.Generate {
	body := fmt.Sprintf(`{"model":"assistant-1","prompt":%q,"max_tokens":%d,"stream":false}`, prompt, maxTokens)
	return engine.Generate{ID: id, Body: []byte(body), TimeLeft: time.Minute}
}

// readAll reads a stream to its end or to an error.
func readAll(s engine.Stream) (text string, tokens int, err error) {
	var b strings.Builder
	for {
		delta, ok, err := s.Next()
		if !ok {
			return b.String(), tokens, err
		}
		b.WriteString(delta.Text)
		tokens += delta.Tokens
	}
}

func generateAll(t *testing.T, client engine.Engine, g engine.Generate) (string, engine.Final) {
	t.Helper()
	s, err := client.Generate(t.Context(), g)
	require.NoError(t, err)
	text, _, err := readAll(s)
	require.NoError(t, err)
	require.NoError(t, s.Close())
	return text, s.Final()
}

func TestContract(t *testing.T) {
	e, client := start(t, fast)
	text, final := generateAll(t, client, request("prune?", 20))
	require.Len(t, strings.Fields(text), 20)
	require.Equal(t, engine.Final{FinishReason: "length", Usage: engine.Usage{PromptTokens: 2, CompletionTokens: 20}}, final)

	chat := request("", 0)
	chat.Chat = true
	chat.Body = []byte(` {"model":"assistant-1","messages":[{"role":"user","content":[{"type":"text","text":"prune?"}]}],"max_tokens":20} `)
	chatText, chatFinal := generateAll(t, client, chat)
	require.Equal(t, text, chatText)
	require.Equal(t, final, chatFinal)

	require.NoError(t, client.Reserve(t.Context(), id, 1000, time.Minute))
	require.NoError(t, client.Reserve(t.Context(), id, 2000, time.Minute), "renewed")
	report, err := client.Report(t.Context())
	require.NoError(t, err)
	require.Equal(t, []engine.Allocation{{ID: id.String(), Tokens: 2000, Reserved: true}}, report.Allocations)
	require.ErrorIs(t, client.Reserve(t.Context(), call.ID{8}, 1e9, time.Minute), engine.ErrOutOfMemory)
	require.NoError(t, client.Cancel(t.Context(), id))
	require.NoError(t, client.Cancel(t.Context(), id), "idempotent")
	require.Zero(t, e.Stats().HeldTokens)

	require.NoError(t, client.Order(t.Context(), engine.Order{Kind: engine.OrderRole, Name: "decode"}))
	require.ErrorIs(t, client.Order(t.Context(), engine.Order{Kind: "paint"}), engine.ErrRejected)
}

func TestKVTransferBetweenEngines(t *testing.T) {
	_, from := start(t, fast)
	_, to := start(t, fast)
	prompt := strings.Repeat("span 17 clear; ", 1000)
	generateAll(t, from, request(prompt, 1))
	events, err := from.CacheEvents(t.Context(), 0)
	require.NoError(t, err)
	blocks := engine.PrefixBlocks("assistant-1", prompt)
	require.Len(t, events, len(blocks))
	data, err := from.ExportKV(t.Context(), blocks[len(blocks)-1])
	require.NoError(t, err)
	require.NoError(t, to.ImportKV(t.Context(), data))
	_, final := generateAll(t, to, request(prompt, 1))
	require.Equal(t, len(blocks)*engine.BlockTokens, final.Usage.CachedTokens)
	_, err = from.ExportKV(t.Context(), 12345)
	require.ErrorIs(t, err, engine.ErrRejected)
}

// Checks that a stream that breaks or stalls after some tokens returns ErrBroken and frees
// the engine's memory, and that another engine can continue the answer after the tokens
// delivered before the failure.
func TestBrokenStreamContinuesOnAnotherEngine(t *testing.T) {
	config := fast
	config.KeepAlive = time.Millisecond
	_, other := start(t, fast)
	want, final := generateAll(t, other, request("prune?", 40))
	for _, kind := range []faults.Kind{faults.Die, faults.Silent} {
		for _, after := range []int{0, 1, 39} {
			t.Run(fmt.Sprint(kind, after), func(t *testing.T) {
				e := standin.New(config)
				server := httptest.NewServer(e)
				defer server.Close()
				e.SetFaults(standin.Fault{Fault: faults.Fault{Operation: standin.OpStream, Kind: kind}, AfterTokens: after})
				client := engine.NewHTTPWith(server.URL, engine.HTTPOptions{IdleTimeout: 100 * time.Millisecond})
				defer client.CloseIdle()
				s, err := client.Generate(t.Context(), request("prune?", 40))
				require.NoError(t, err)
				text, tokens, err := readAll(s)
				require.ErrorIs(t, err, engine.ErrBroken)
				require.NotErrorIs(t, err, engine.ErrNotStarted)
				require.Equal(t, after, tokens)
				require.NoError(t, s.Close())
				require.Zero(t, e.Stats().HeldTokens)

				rest := request("prune?", 40)
				rest.Delivered, rest.DeliveredTokens = text, tokens
				tail, restFinal := generateAll(t, other, rest)
				require.Equal(t, want, text+tail)
				require.Equal(t, final, restFinal)
			})
		}
	}
}

// Checks that ErrNotStarted is returned only if the engine certainly did not accept the
// request. Otherwise the caller could run a request twice.
func TestGenerateErrors(t *testing.T) {
	unreachable := httptest.NewServer(http.NotFoundHandler())
	unreachable.Close()
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	unknown := request("x", 1)
	unknown.Body = []byte(`{"model":"no-such","prompt":"x"}`)
	notJSON := request("x", 1)
	notJSON.Body = []byte(`"prompt"`)
	noTime := request("x", 1)
	noTime.TimeLeft = 0
	kinds := []error{engine.ErrNotStarted, engine.ErrBroken, engine.ErrRejected, engine.ErrOutOfMemory}
	for _, c := range []struct {
		name        string
		fault       faults.Kind
		do          engine.Generate
		ctx         context.Context
		unreachable bool
		want        []error
		runs        int
	}{
		{name: "dial refused", do: request("x", 1), unreachable: true, want: []error{engine.ErrNotStarted}},
		{name: "context ended", do: request("x", 1), ctx: ended, want: []error{engine.ErrNotStarted}},
		{name: "no time left", do: noTime, want: []error{engine.ErrNotStarted}},
		{name: "unknown model", do: unknown, want: []error{engine.ErrRejected}},
		{name: "no object", do: notJSON, want: []error{engine.ErrRejected}},
		{name: "too large", do: request("x", 1e6), want: []error{engine.ErrOutOfMemory, engine.ErrNotStarted}},
		{name: "closed without a byte", do: request("x", 1), fault: faults.Die, want: []error{engine.ErrBroken}},
		{name: "closed after it ran", do: request("x", 1), fault: faults.AnswerLost, want: []error{engine.ErrBroken}, runs: 1},
		{name: "bare 503", do: request("x", 1), fault: faults.Outage, want: []error{engine.ErrBroken}},
	} {
		t.Run(c.name, func(t *testing.T) {
			e, client := start(t, fast)
			if c.fault != "" {
				e.SetFaults(standin.Fault{Fault: faults.Fault{Operation: standin.OpGenerate, Kind: c.fault}})
			}
			if c.unreachable {
				client = engine.NewHTTP(unreachable.URL)
			}
			if c.ctx == nil {
				c.ctx = t.Context()
			}
			_, err := client.Generate(c.ctx, c.do)
			for _, kind := range kinds {
				wanted := false
				for _, w := range c.want {
					wanted = wanted || w == kind
				}
				require.Equal(t, wanted, errors.Is(err, kind), "%v is %v", err, kind)
			}
			require.Equal(t, c.runs, e.Stats().Runs[id.String()])
			require.Zero(t, e.Stats().HeldTokens)
		})
	}
}

func TestDeadlineEndsStreamAndGeneration(t *testing.T) {
	e, client := start(t, endless)
	g := request("x", 100_000)
	g.TimeLeft = 50 * time.Millisecond
	s, err := client.Generate(t.Context(), g)
	require.NoError(t, err)
	_, _, err = readAll(s)
	require.ErrorIs(t, err, engine.ErrBroken)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.NoError(t, s.Close())
	require.Zero(t, e.Stats().HeldTokens)
}

func TestCloseFreesEngineMemory(t *testing.T) {
	e, client := start(t, endless)
	s, err := client.Generate(t.Context(), request("x", 100_000))
	require.NoError(t, err)
	_, ok, err := s.Next()
	require.NoError(t, err)
	require.True(t, ok)
	require.NotZero(t, e.Stats().HeldTokens)
	require.NoError(t, s.Close())
	require.Zero(t, e.Stats().HeldTokens)
	require.Equal(t, 1, e.Stats().Cancelled)
}

// Checks that a prompt larger than the memory of one engine runs with reservations on a
// group of engines, and that the request fails and frees the memory of all engines when one
// of them loses its reservation.
func TestGroupReservations(t *testing.T) {
	config := fast
	config.EngineTokens = 10_000
	config.DecodeStep = time.Millisecond
	config.AnswerTokens = 1e6
	primary, client := start(t, config)
	member := standin.New(config)
	server := httptest.NewServer(member)
	defer server.Close()
	defer member.Close()
	memberClient := engine.NewHTTP(server.URL)
	defer memberClient.CloseIdle()
	g := request(strings.Repeat("abcd", 14_000), 4000)
	g.Group = []string{server.URL}
	_, err := client.Generate(t.Context(), g)
	require.ErrorIs(t, err, engine.ErrOutOfMemory)
	require.ErrorIs(t, err, engine.ErrNotStarted)

	require.NoError(t, client.Reserve(t.Context(), id, 9000, time.Minute))
	require.NoError(t, memberClient.Reserve(t.Context(), id, 9000, time.Minute))
	s, err := client.Generate(t.Context(), g)
	require.NoError(t, err)
	_, ok, err := s.Next()
	require.NoError(t, err)
	require.True(t, ok)
	require.Equal(t, int64(9000), primary.Stats().HeldTokens, "the request took over the reservation")
	require.NoError(t, memberClient.Cancel(t.Context(), id))
	_, _, err = readAll(s)
	require.ErrorIs(t, err, engine.ErrBroken)
	require.NoError(t, s.Close())
	require.Zero(t, primary.Stats().HeldTokens+member.Stats().HeldTokens)
}

// Guards against control calls that keep timing out although the engine works: an
// intermediary drops all bytes of a pooled connection, so the timeout must remove that
// connection from the pool.
func TestTimedOutPooledConnectionIsDiscarded(t *testing.T) {
	server := httptest.NewServer(standin.New(fast))
	defer server.Close()
	var dials atomic.Int32
	var drop atomic.Bool
	client := engine.NewHTTPWith(server.URL, engine.HTTPOptions{
		CallTimeout: 100 * time.Millisecond,
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, network, address)
			return &droppingConn{Conn: c, first: dials.Add(1) == 1, drop: &drop}, err
		},
	})
	defer client.CloseIdle()
	_, err := client.Report(t.Context())
	require.NoError(t, err)
	drop.Store(true)
	_, err = client.Report(t.Context())
	require.ErrorIs(t, err, context.DeadlineExceeded)
	_, err = client.Report(t.Context())
	require.NoError(t, err)
	require.EqualValues(t, 2, dials.Load())
}

// droppingConn is a connection that discards its writes while drop is set, if it is the
// first connection.
type droppingConn struct {
	net.Conn
	first bool
	drop  *atomic.Bool
}

func (f *droppingConn) Write(p []byte) (int, error) {
	if f.first && f.drop.Load() {
		return len(p), nil
	}
	return f.Conn.Write(p)
}
