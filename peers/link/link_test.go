package link

import (
	"context"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/core/evacuation"
	"acaciacleat.example/core/evidence"
	"acaciacleat.example/core/fairshare"
	"acaciacleat.example/core/fetch"
	"acaciacleat.example/core/fingerprint"
	"acaciacleat.example/core/overlay"
	"acaciacleat.example/core/pace"
	"acaciacleat.example/core/quarantine"
	"acaciacleat.example/core/ratelimit"
	"acaciacleat.example/core/slowstart"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

// recorder is a Handler that passes all events to the test. It copies each Chunk, which is valid only
// during the call.
type recorder struct {
	open   chan *Conn
	chunks chan Chunk
	other  chan Message
	closed chan error
}

func newRecorder() *recorder {
	return &recorder{open: make(chan *Conn, 16), chunks: make(chan Chunk, 4096), other: make(chan Message, 16), closed: make(chan error, 16)}
}

func (r *recorder) OnOpen(c *Conn) { r.open <- c }

func (r *recorder) OnMessage(_ *Conn, message Message) {
	if m, ok := message.(*Chunk); ok {
		copied := *m
		copied.Data = append([]byte(nil), m.Data...)
		r.chunks <- copied
		return
	}
	r.other <- message
}

func (r *recorder) OnClose(_ *Conn, reason error) { r.closed <- reason }

func startNode(t *testing.T, vm string, keys *Keys, timing Timing) (*Node, *recorder) {
	t.Helper()
	events := newRecorder()
	node, err := Start(Config{
		Listen:  "127.0.0.1:0",
		Self:    Identity{VM: vm, Role: "test", Incarnation: 7},
		Keys:    keys,
		Handler: events,
		Timing:  timing,
	})
	require.NoError(t, err)
	t.Cleanup(node.Close)
	return node, events
}

// A message must not be lost, cut or reordered, whether it is larger than a read buffer or one of many
// that are written at once.
func TestMessagesArriveCompleteAndInOrder(t *testing.T) {
	keys := NewKeys([]byte("k"), nil)
	a, _ := startNode(t, "a", keys, Timing{})
	b, events := startNode(t, "b", keys, Timing{})
	c, err := a.Dial(context.Background(), "b", b.Addr())
	require.NoError(t, err)
	require.Equal(t, "b", c.Peer().VM)
	require.Equal(t, "a", (<-events.open).Peer().VM)
	large := []byte(strings.Repeat("x", 300<<10))
	require.NoError(t, c.Send(&Body{ID: call.ID{1}, Offset: 3, Data: large}))
	for i := range 1000 {
		require.NoError(t, c.Send(&Chunk{ID: call.ID{1}, Attempt: 2, Seq: uint64(i), Tokens: 5, Data: []byte("token")}))
	}
	body := (<-events.other).(*Body)
	require.Equal(t, large, body.Data)
	for i := range 1000 {
		chunk := <-events.chunks
		require.Equal(t, Chunk{ID: call.ID{1}, Attempt: 2, Seq: uint64(i), Tokens: 5, Data: []byte("token")}, chunk)
	}
}

// Key rotation must not separate processes that have only one of the two keys. A new key must be
// known to both ends before either uses it first.
func TestKeyRotation(t *testing.T) {
	cases := []struct {
		name              string
		dialler, acceptor *Keys
		ok                bool
	}{
		{"same key", NewKeys([]byte("k1"), nil), NewKeys([]byte("k1"), nil), true},
		{"dialler is ahead", NewKeys([]byte("k2"), []byte("k1")), NewKeys([]byte("k1"), nil), false},
		{"both know both, dialler is ahead", NewKeys([]byte("k2"), []byte("k1")), NewKeys([]byte("k1"), []byte("k2")), true},
		{"acceptor is ahead", NewKeys([]byte("k1"), []byte("k2")), NewKeys([]byte("k2"), []byte("k1")), true},
		{"other key", NewKeys([]byte("x"), nil), NewKeys([]byte("k1"), nil), false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			a, _ := startNode(t, "a", tc.dialler, Timing{})
			b, _ := startNode(t, "b", tc.acceptor, Timing{})
			_, err := a.Dial(context.Background(), "b", b.Addr())
			require.Equal(t, tc.ok, err == nil, "%v", err)
		})
	}
}

// A device between the ends that drops all data without a reset leaves the TCP connection
// established for many minutes. A link with a request in flight must detect the silence, so that
// the request does not hang.
func TestSilentLinkClosesDuringRequests(t *testing.T) {
	keys := NewKeys([]byte("k"), nil)
	timing := Timing{Heartbeat: 100 * time.Millisecond, Silence: 300 * time.Millisecond, Idle: time.Minute, Handshake: time.Second}
	a, events := startNode(t, "a", keys, timing)
	b, _ := startNode(t, "b", keys, timing)
	relay := newDroppingRelay(t, b.Addr())
	c, err := a.Dial(context.Background(), "b", relay.addr)
	require.NoError(t, err)
	<-events.open
	relay.dropAll()
	c.Retain()
	require.ErrorIs(t, <-events.closed, ErrSilent)
	require.Nil(t, a.Existing("b"))
	again, err := a.Dial(context.Background(), "b", b.Addr())
	require.NoError(t, err)
	require.NotSame(t, c, again)
}

// The VM list may still contain the address of a replaced VM, on which another VM now listens.
// That VM must not receive the requests meant for the old one.
func TestDialRejectsAnotherVM(t *testing.T) {
	keys := NewKeys([]byte("k"), nil)
	a, _ := startNode(t, "a", keys, Timing{})
	b, _ := startNode(t, "b", keys, Timing{})
	_, err := a.Dial(context.Background(), "old", b.Addr())
	require.ErrorContains(t, err, "b answered")
}

// A malformed frame must cause an error, and never a panic or a nil message without an error.
func FuzzDecode(f *testing.F) {
	w := newFrameWriter()
	for _, m := range []Message{&Offer{Service: "s", Body: []byte("x")}, &Chunk{Data: []byte("d")}, &Ack{Seq: 4}, &End{Detail: "e"},
		&RoutesPart{Version: 2, Parts: 1, Data: []byte("p")}, &DispatchUpdate{PartRequest: &fetch.Request{Version: 2, Part: 1}},
		&DispatchUpdate{Origin: 1, Reports: []evidence.Report{{Tag: 7, Kind: evidence.Absent, AgeMs: 3}}},
		&DispatchUpdate{Origin: 1, Evacuation: evacuation.Report{Changes: []evacuation.Change{{Zone: "zone-b", Version: 2, Evacuated: true}}, Position: 3}},
		&FeedUpdate{Feed: FeedRoutes, To: 4, Evacuations: []evacuation.Change{{Zone: "zone-b", Version: 2}}},
		&DispatchUpdate{Origin: 1, PermitAsk: &ratelimit.Ask{Number: 4, Limit: ratelimit.Report{Tag: 3, Rate: 2}, WithinMs: 9}},
		&DispatchUpdate{Origin: 1, Paces: []pace.Report{{Tag: 3, Pace: -1, Observations: 4, AgeMs: 9}}},
		&DispatchUpdate{Origin: 1, Shares: []dispatch.ShareReport{{Service: 4, Report: fairshare.Report{Organisation: 9, DemandMs: 7}}}},
		&DispatchUpdate{Origin: 1, Quarantine: []quarantine.Report{{Kind: quarantine.HoldReport, LeftMs: 5}}},
		&DispatchUpdate{Origin: 1, Cold: []slowstart.Report{{Tag: 7, RestMs: 3000}}},
		&Overlay{Relays: []overlay.Relay{{VM: "a", Zone: "z", Link: "10.0.0.1:9", Slot: 3, Version: 8}}, Ask: []Feed{FeedRoutes}},
		&Overlay{Forward: true, Sizes: []overlay.ZoneSize{{Zone: "z", Entries: 90}}, Gone: []call.Incarnation{7}},
		&FeedUpdate{Feed: FeedUpstreams, To: 4, Complete: true, Age: 20 * time.Millisecond, Follower: "a", Forward: true}} {
		w.buf = w.buf[:0]
		require.NoError(f, w.append(m))
		f.Add(byte(m.Type()), append([]byte(nil), w.buf[headerBytes:]...))
	}
	f.Fuzz(func(t *testing.T, frameType byte, payload []byte) {
		message, err := newFrameReader().decode(Type(frameType), payload)
		require.Equal(t, err == nil, message != nil)
		for _, change := range evacuationsOf(message) {
			require.True(t, evacuation.ValidZone(change.Zone) && change.Version > 0)
		}
	})
}

func evacuationsOf(message Message) []evacuation.Change {
	switch m := message.(type) {
	case *DispatchUpdate:
		return m.Evacuation.Changes
	case *FeedUpdate:
		return m.Evacuations
	default:
		return nil
	}
}

// Guards against a listener that takes a position of the feed for known without the evacuations up to it,
// and against links to entries of an older version that close.
func TestFeedUpdateCarriesEvacuations(t *testing.T) {
	type olderUpdate struct {
		Feed                           Feed
		From, To                       uint64
		Routes                         []byte
		Changes                        []dispatch.Change
		Omitted, ReadFailed, Recovered bool
	}
	routes := &FeedUpdate{Feed: FeedRoutes, From: 3, To: 9, Evacuations: []evacuation.Change{{Zone: "zone-a", Version: 7, Evacuated: true}, {Zone: "zone-b", Version: 8}}}
	upstreams := &FeedUpdate{Feed: FeedUpstreams, From: 3, To: 9, Changes: []dispatch.Change{{Upstream: dispatch.Upstream{ID: "u"}, Revision: 7}}}
	for _, update := range []*FeedUpdate{routes, upstreams} {
		newer, err := encodeArray(update)
		require.NoError(t, err)
		message, err := newFrameReader().decode(TypeFeedUpdate, newer)
		require.NoError(t, err)
		require.Equal(t, update, message)
		var read olderUpdate
		require.NoError(t, msgpack.Unmarshal(newer, &read))
		require.Equal(t, update.To, read.To)
		older, err := encodeArray(&olderUpdate{Feed: update.Feed, From: 3, To: 9, Changes: update.Changes})
		require.NoError(t, err)
		message, err = newFrameReader().decode(TypeFeedUpdate, older)
		require.NoError(t, err)
		require.Equal(t, &FeedUpdate{Feed: update.Feed, From: 3, To: 9, Changes: update.Changes}, message)
	}
}

// Guards against invalid evacuations from another entry.
func TestInvalidEvacuationsAreIgnored(t *testing.T) {
	for name, e := range map[string]dispatch.Event{
		"negative length": {Rank: evacuationBegun, Number: 1, Prompt: -1},
		"longer":          {Rank: evacuationBegun, Number: 1, Prompt: 9, Helpers: packText("zone-a")},
		"shorter":         {Rank: evacuationBegun, Number: 1, Prompt: 1, Helpers: packText("zone-a")},
		"no zone":         {Rank: evacuationBegun, Number: 1},
		"no UTF-8":        {Rank: evacuationBegun, Number: 1, Prompt: 1, Helpers: packText("\xff")},
		"no version":      {Rank: evacuationBegun, Prompt: 1, Helpers: packText("a")},
		"unknown":         {Rank: 99, Number: 1, Prompt: 1, Helpers: packText("a")},
	} {
		var r evacuation.Report
		addEvacuationEvent(&r, &e)
		require.True(t, r.IsZero(), name)
	}
}

// droppingRelay forwards data between a dialler and a target. After dropAll, it discards all data
// without closing the connections.
type droppingRelay struct {
	addr     string
	dropping chan struct{}
}

func newDroppingRelay(t *testing.T, target string) *droppingRelay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	r := &droppingRelay{addr: listener.Addr().String(), dropping: make(chan struct{})}
	go func() {
		from, err := listener.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", target)
		if err != nil {
			return
		}
		go r.copy(from, to)
		r.copy(to, from)
	}()
	return r
}

func (r *droppingRelay) dropAll() { close(r.dropping) }

func (r *droppingRelay) copy(to, from net.Conn) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		select {
		case <-r.dropping:
		default:
			_, _ = to.Write(buf[:n])
		}
	}
}

// A load digest must stay small: core/load assumes its size (digestBytes) when it divides its budget
// of control traffic among the peers.
func TestDigestSize(t *testing.T) {
	report := LoadReport{Agent: "engine-1234", Incarnation: 1 << 63, Model: "assistant-1"}
	report.Load.FreeTokens = 400_000
	report.Load.CapacityTokens = 400_000
	report.Load.PrefillRate = 40_000.5
	report.Load.Sequence = 1 << 20
	for i := range report.Load.QueuedPrompt {
		report.Load.QueuedPrompt[i] = 1_000_000
		report.Load.RunningPrompt[i] = 1_000_000
	}
	w := newFrameWriter()
	require.NoError(t, w.append(&Loads{Reports: []LoadReport{report}}))
	t.Logf("%d bytes", len(w.buf))
	require.LessOrEqual(t, len(w.buf), 140)
}

// A link that carries an occasional message, such as a load digest, and no request for longer than
// Idle must stay open. If the idle time counted from the last request alone, links between agents
// would be closed and dialled again once a minute. Any message other than a heartbeat serves here.
func TestLinkWithTrafficButNoRequestsStaysOpen(t *testing.T) {
	const idle = time.Minute
	keys := NewKeys([]byte("k"), nil)
	a, _ := startNode(t, "a", keys, Timing{Heartbeat: idle, Silence: 2 * idle, Idle: idle, Handshake: idle})
	b, events := startNode(t, "b", keys, Timing{})
	c, err := a.Dial(context.Background(), "b", b.Addr())
	require.NoError(t, err)
	opened := c.lastUsed.Load()
	require.NoError(t, c.Send(&Ack{Seq: 1}))
	<-events.other
	sent := c.lastUsed.Load()
	c.checkTimeouts(opened + int64(idle) + 1)
	require.True(t, c.isOpen(), "the link was used less than Idle ago")
	c.checkTimeouts(sent + int64(idle) + 1)
	require.False(t, c.isOpen(), "the link was not used for longer than Idle")
}

// On a link that carries only load digests, each digest counts as use and no regular heartbeats are
// sent. If a device between the ends drops all data without a reset, the link must still be closed;
// otherwise digests would be sent to an unreachable peer for many minutes. Any message other than a
// heartbeat serves as the digest here.
func TestSilentLinkClosesWhileSendingDigests(t *testing.T) {
	keys := NewKeys([]byte("k"), nil)
	timing := Timing{Heartbeat: 100 * time.Millisecond, Silence: 300 * time.Millisecond, Idle: 300 * time.Millisecond, Handshake: time.Second}
	a, events := startNode(t, "a", keys, timing)
	b, _ := startNode(t, "b", keys, timing)
	relay := newDroppingRelay(t, b.Addr())
	c, err := a.Dial(context.Background(), "b", relay.addr)
	require.NoError(t, err)
	relay.dropAll()
	digests := time.NewTicker(50 * time.Millisecond)
	defer digests.Stop()
	for {
		select {
		case <-digests.C:
			_ = c.Send(&Ack{Seq: 1})
		case reason := <-events.closed:
			require.ErrorIs(t, reason, ErrSilent)
			return
		}
	}
}

// TestDispatchUpdateSize checks the size, stated in docs/CAPACITY.md, of the events of one request:
// its placement, its first event and its end.
func TestDispatchUpdateSize(t *testing.T) {
	placed := dispatch.Event{
		Kind: dispatch.Placed, Number: 100_000, First: 1 << 31, Helpers: make([]dispatch.Tag, 7), Tickets: make([]int, 7),
		Prompt: 182_000, Output: 650, PartMs: 490, AimMs: 4000, GapMs: 1000, LeftMs: 15_000,
	}
	for i := range placed.Helpers {
		placed.Helpers[i] = 1 << 31
	}
	short := placed
	short.Helpers, short.Tickets = nil, nil
	rest := []dispatch.Event{{Kind: dispatch.FirstEvent, Number: 100_000}, {Kind: dispatch.Ended, Number: 100_000}}
	for name, event := range map[string]dispatch.Event{"alone": short, "with seven helpers": placed} {
		w := newFrameWriter()
		require.NoError(t, w.append(&DispatchUpdate{Origin: 1 << 63, Events: append([]dispatch.Event{event}, rest...)}))
		t.Logf("%s: %d bytes", name, len(w.buf))
		require.LessOrEqual(t, len(w.buf), 180)
	}
}

// TestReportSize checks the size, stated in docs/CAPACITY.md, of one report on an upstream.
func TestReportSize(t *testing.T) {
	size := func(reports []evidence.Report) int {
		w := newFrameWriter()
		require.NoError(t, w.append(&DispatchUpdate{Origin: 1 << 63, Reports: reports}))
		return len(w.buf)
	}
	one := evidence.Report{Tag: 1 << 31, Kind: evidence.Replaced, AgeMs: 300}
	bytes := size([]evidence.Report{one, one}) - size([]evidence.Report{one})
	t.Logf("%d bytes a report", bytes)
	require.LessOrEqual(t, bytes, 24)
}

// During an upgrade, entries of two versions exchange this message. A field that the older version
// does not know would make it close the link each time. Fields are encoded by position, so their
// names may differ between versions.
func TestDispatchUpdateAcrossVersions(t *testing.T) {
	type olderUpdate struct {
		Origin call.Incarnation
		Pass   bool
		Events []dispatch.Event
	}
	events := []dispatch.Event{{Kind: dispatch.Ended, Number: 5}}
	reports := []evidence.Report{{Tag: 7, Kind: evidence.Absent, AgeMs: 12}, {Tag: 8, Kind: evidence.Answered}}
	older, err := encodeArray(&olderUpdate{Origin: 3, Pass: true, Events: events})
	require.NoError(t, err)
	message, err := newFrameReader().decode(TypeDispatchUpdate, older)
	require.NoError(t, err)
	require.Equal(t, &DispatchUpdate{Origin: 3, Forward: true, Events: events}, message)

	print := fingerprint.Of(fingerprint.Request{Path: "/ask"})
	quarantined := []quarantine.Report{
		{Kind: quarantine.RepeatedCrashReport, Print: print, Upstream: 1 << 31, AgeMs: 9},
		{Kind: quarantine.HoldReport, Print: print, LeftMs: quarantine.MaxHold.Milliseconds(), Times: 3},
		{Kind: quarantine.CrashReport, Print: print, Upstream: 7, Begun: true, Segments: []quarantine.Segment{
			{Print: fingerprint.OfSegment("model", "a"), Answered: 1 << 31}, {Print: fingerprint.OfSegment("model", "b")},
		}},
	}
	partRequest := &fetch.Request{Version: 1 << 40, Part: 3}
	limit := ratelimit.Report{Tag: 1 << 31, Rate: 2.3, AgeMs: 4}
	update := &DispatchUpdate{
		Origin: 3, Events: events, Reports: reports, Quarantine: quarantined, PartRequest: partRequest,
		Limits:      []ratelimit.Report{limit, {Tag: 5, AgeMs: 1}},
		PermitAsk:   &ratelimit.Ask{Number: 1 << 40, Limit: limit, WithinMs: 150, Cold: true, ColdMs: -20},
		Cold:        []slowstart.Report{{Tag: 6, RestMs: 2500}, {Tag: 7, RestMs: -1}},
		PermitReply: &ratelimit.Reply{Number: 7, Granted: true, WaitMs: 20},
		Evacuation: evacuation.Report{
			Changes: []evacuation.Change{{Zone: "zone-a", Version: 1 << 40, Evacuated: true}, {Zone: "ö", Version: 3}}, Position: 9, Query: true,
		},
		Zones:  []dispatch.ZoneReport{{From: 1 << 31, To: 7}},
		Shares: []dispatch.ShareReport{{Service: 1 << 31, Report: fairshare.Report{Organisation: 1 << 63, DemandMs: 8, GrantMs: 3}}},
		Paces:  []pace.Report{{Tag: 1 << 31, Pace: 3.4, Observations: 12, AgeMs: 40}},
	}
	newer, err := encodeArray(update)
	require.NoError(t, err)
	message, err = newFrameReader().decode(TypeDispatchUpdate, newer)
	require.NoError(t, err)
	require.Equal(t, update, message)
	var read olderUpdate
	require.NoError(t, msgpack.Unmarshal(newer, &read))
	require.Equal(t, events, read.Events[:1], "the known event is first; an older entry skips the others, whose kinds it does not know")
	require.Len(t, read.Events, 20)
	fleet := dispatch.NewFleet(dispatch.Settings{})
	fleet.ApplyEvents(time.Now(), 3, read.Events)
	require.Zero(t, fleet.Outstanding()+fleet.Waiting())
}

func encodeArray(v any) ([]byte, error) {
	w := newFrameWriter()
	err := w.enc.Encode(v)
	return w.buf, err
}

// On a VM with one core, the event loops wait in system calls that occupy the scheduler's only
// processor. Without more processors, a process would not respond for a second after startup and
// its timers would fire late.
func TestStartReservesProcessors(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	startNode(t, "a", NewKeys([]byte("k"), nil), Timing{})
	require.Equal(t, 4, runtime.GOMAXPROCS(0), "two event loops, an acceptor and one for all other goroutines")
}

// Start does not lower GOMAXPROCS.
func TestStartKeepsExistingProcessors(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(9))
	startNode(t, "a", NewKeys([]byte("k"), nil), Timing{})
	require.Equal(t, 9, runtime.GOMAXPROCS(0))
}

// Guards against a message that is encoded once for many links and arrives as another one.
func TestEncodedMessageIsReadLikeTheMessage(t *testing.T) {
	message := &Overlay{Forward: true, Sizes: []overlay.ZoneSize{{Zone: "z", Entries: 90}}}
	encoded, err := Encode(message)
	require.NoError(t, err)
	w := newFrameWriter()
	require.NoError(t, w.append(encoded))
	decoded, err := newFrameReader().decode(Type(w.buf[4]), w.buf[headerBytes:])
	require.NoError(t, err)
	require.Equal(t, message, decoded)
	_, err = Encode(&RoutesPart{Data: make([]byte, MaxFrameBytes)})
	require.ErrorIs(t, err, ErrFrame)
}
