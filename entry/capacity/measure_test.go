// Package capacity measures the unit costs in docs/CAPACITY.md: the CPU time, memory and bytes of one
// request, link, replica, organisation or change. Everything runs in one process, over loopback or
// without any I/O.
package capacity

import (
	"io"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"acaciacleat.example/peers/link"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

// The size of the target deployment, to which the unit costs are applied. targetRequests is in
// requests per second.
const (
	targetEntries  = 350
	targetAgents   = 1200
	targetModels   = 27
	targetZones    = 4
	targetRequests = 4300.0
)

// waitTimeout bounds every wait for a condition. Its value does not affect results.
const waitTimeout = 30 * time.Second

// pollInterval is the interval between checks of an awaited condition.
const pollInterval = time.Millisecond

func waitFor(t testing.TB, what string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !done(); time.Sleep(pollInterval) {
		require.True(t, time.Now().Before(deadline), what)
	}
}

// heapBytes returns the bytes of live heap objects and of goroutine stacks.
func heapBytes() float64 {
	var stats runtime.MemStats
	// The second collection frees what finalizers and pools released during the first.
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	// Getrusage of the calling process never fails.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// frameHeaderBytes is the size of the length and type fields before each payload on a link.
const frameHeaderBytes = 5

// frameBytes returns the size of a message on a link, including its header. It doesn't apply to Chunk
// and Ack, for which links use another encoding.
func frameBytes(t testing.TB, message link.Message) int {
	var counter byteCounter
	encoder := msgpack.NewEncoder(&counter)
	encoder.UseCompactInts(true)
	encoder.UseArrayEncodedStructs(true)
	require.NoError(t, encoder.Encode(message))
	return frameHeaderBytes + int(counter)
}

type byteCounter int

func (c *byteCounter) Write(p []byte) (int, error) {
	*c += byteCounter(len(p))
	return len(p), nil
}

// countingPipe forwards connections to an address and counts their bytes.
type countingPipe struct {
	listener net.Listener
	// bytesToTarget counts the bytes from the dialler, bytesFromTarget those to it.
	bytesToTarget, bytesFromTarget atomic.Int64
}

func newCountingPipe(t testing.TB, to string) *countingPipe {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &countingPipe{listener: listener}
	t.Cleanup(func() { listener.Close() })
	go p.accept(to)
	return p
}

func (p *countingPipe) accept(to string) {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		onward, err := net.Dial("tcp", to)
		if err != nil {
			from.Close()
			return
		}
		go forward(onward, from, &p.bytesToTarget)
		go forward(from, onward, &p.bytesFromTarget)
	}
}

func (p *countingPipe) addr() string { return p.listener.Addr().String() }

// forward copies bytes and counts them before it writes them, so that all bytes that have arrived are
// counted.
func forward(to, from net.Conn, count *atomic.Int64) {
	defer to.Close()
	defer from.Close()
	_, _ = io.Copy(countingWriter{to, count}, from)
}

type countingWriter struct {
	io.Writer
	count *atomic.Int64
}

func (w countingWriter) Write(p []byte) (int, error) {
	w.count.Add(int64(len(p)))
	return w.Writer.Write(p)
}

// handler passes the messages that a link node receives to onMessage.
type handler struct {
	onMessage func(c *link.Conn, message link.Message)
}

func (handler) OnOpen(*link.Conn)         {}
func (handler) OnClose(*link.Conn, error) {}
func (h handler) OnMessage(c *link.Conn, message link.Message) {
	if h.onMessage != nil {
		h.onMessage(c, message)
	}
}

var keys = link.NewKeys([]byte("secret"), nil)

func startNode(t testing.TB, vm string, h handler) *link.Node {
	node, err := link.Start(link.Config{
		Listen:  "127.0.0.1:0",
		Self:    link.Identity{VM: vm, Role: "agent", Zone: "zone-a", Incarnation: link.NewIncarnation()},
		Keys:    keys,
		Handler: h,
	})
	require.NoError(t, err)
	t.Cleanup(node.Close)
	return node
}
