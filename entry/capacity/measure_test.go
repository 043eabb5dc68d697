// Package capacity measures the slopes behind docs/CAPACITY.md: what one request, link,
// replica, organisation or change costs in processor time, memory and bytes. Everything
// runs in one process, over loopback or on decisions without any I/O.
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

// The design size that the slopes are applied to.
const (
	designEntries  = 350
	designAgents   = 1200
	designModels   = 27
	designZones    = 4
	designRequests = 4300.0
)

// settle bounds every wait for something to happen; none of them is measured.
const settle = 30 * time.Second

// pollEvery is the time between two looks at something awaited.
const pollEvery = time.Millisecond

func await(t testing.TB, what string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(settle); !done(); time.Sleep(pollEvery) {
		require.True(t, time.Now().Before(deadline), what)
	}
}

// heap returns the bytes of live objects and of goroutines' stacks.
func heap() float64 {
	var stats runtime.MemStats
	// Twice: what a finalizer or a pool let go of at the first is free after the second.
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// cpu returns the processor time that this process has used.
func cpu() time.Duration {
	var usage syscall.Rusage
	// Getrusage of the process itself never fails.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// frameHeaderBytes is the length and the type before each payload of a link.
const frameHeaderBytes = 5

// frameBytes is the size of a message on a link, its header included, for all messages
// but Chunk and Ack, which links encode in a form of their own.
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
	// out counts the bytes from the dialler, back those to it.
	out, back atomic.Int64
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
		go forward(onward, from, &p.out)
		go forward(from, onward, &p.back)
	}
}

func (p *countingPipe) addr() string { return p.listener.Addr().String() }

// forward counts before it writes, so that what has arrived has been counted.
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

// handler takes what a link node hears.
type handler struct {
	message func(c *link.Conn, message link.Message)
}

func (handler) OnOpen(*link.Conn)         {}
func (handler) OnClose(*link.Conn, error) {}
func (h handler) OnMessage(c *link.Conn, message link.Message) {
	if h.message != nil {
		h.message(c, message)
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
