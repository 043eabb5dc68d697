package link

import (
	"encoding/binary"
	"math"
	"slices"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/core/evidence"
	"acaciacleat.example/core/fairshare"
	"acaciacleat.example/core/fetch"
	"acaciacleat.example/core/fingerprint"
	"acaciacleat.example/core/pace"
	"acaciacleat.example/core/quarantine"
	"acaciacleat.example/core/ratelimit"
	"acaciacleat.example/core/slowstart"
	"github.com/vmihailenco/msgpack/v5"
)

// wireDispatchUpdate is the wire format of DispatchUpdate. Reports, quarantine reports and part
// requests are sent as events of additional kinds. An entry that runs an older version skips unknown
// kinds, whereas it would close the link on an additional field or a message of an unknown type.
type wireDispatchUpdate struct {
	Origin  call.Incarnation
	Forward bool
	Events  []dispatch.Event
}

// reportEvent is the kind of an event that carries a report on an upstream: First is the
// upstream's tag, Rank the report's kind, and PartMs the report's age in milliseconds.
const reportEvent dispatch.EventKind = 64

// quarantineEvent is the kind of an event that carries a quarantine report on a request: Number and
// AimMs are the two halves of the request's fingerprint, First is the upstream's tag, Rank the
// report's kind, PartMs the report's age and LeftMs the remaining time in quarantine, both in
// milliseconds, and Prompt is the number of consecutive quarantines. Output is 1 if the answer had begun, and
// Helpers are the request's segments, segmentTags each: the fingerprint and the number of answers.
const quarantineEvent dispatch.EventKind = 65

// partRequestEvent is the kind of an event that requests a part of the routing table: Number is the
// version and Rank the part.
const partRequestEvent dispatch.EventKind = 66

// limitEvent is the kind of an event that carries a report on an upstream's rate limit: First is the
// upstream's tag, Number the bits of the rate, and PartMs the report's age in milliseconds.
const limitEvent dispatch.EventKind = 67

// permitAskEvent is the kind of an event that asks for a permit: Number identifies the question,
// First, AimMs and PartMs are the tag, the bits of the rate and the age of the limit, and LeftMs is
// the longest wait; Rank is 1 if the upstream is cold, and GapMs then the rest of its cold time in
// milliseconds. permitReplyEvent answers it: Rank is 1 if it is granted, LeftMs the wait.
const (
	permitAskEvent   dispatch.EventKind = 68
	permitReplyEvent dispatch.EventKind = 69
)

// coldEvent is the kind of an event that carries a report on a cold upstream: First is the upstream's
// tag, LeftMs the rest of its cold time in milliseconds.
const coldEvent dispatch.EventKind = 71

// zonesEvent is the kind of an event that reports two zones that can't reach each other: Helpers are their
// tags.
const zonesEvent dispatch.EventKind = 74

// shareEvent is the kind of an event that carries a report on an organisation's share: First is the
// service's tag, Number the organisation's, PartMs its demand and LeftMs what it was granted.
const shareEvent dispatch.EventKind = 73

// paceEvent is the kind of an event that carries a report on an upstream's pace: First is the
// upstream's tag, Number the bits of the pace, Rank the number of observations, and PartMs the
// report's age in milliseconds.
const paceEvent dispatch.EventKind = 72

var (
	_ msgpack.CustomEncoder = (*DispatchUpdate)(nil)
	_ msgpack.CustomDecoder = (*DispatchUpdate)(nil)
)

// EncodeMsgpack implements msgpack.CustomEncoder.
func (m *DispatchUpdate) EncodeMsgpack(enc *msgpack.Encoder) error {
	wire := wireDispatchUpdate{Origin: m.Origin, Forward: m.Forward, Events: m.Events}
	wire.Events = slices.Clip(wire.Events) // Appending must not write into the events of the caller.
	if m.PartRequest != nil {
		wire.Events = append(wire.Events, dispatch.Event{Kind: partRequestEvent, Number: m.PartRequest.Version, Rank: m.PartRequest.Part})
	}
	for _, r := range m.Reports {
		wire.Events = append(wire.Events, dispatch.Event{
			Kind: reportEvent, First: dispatch.Tag(r.Tag), Rank: int(r.Kind), PartMs: r.AgeMs,
		})
	}
	for _, r := range m.Quarantine {
		wire.Events = append(wire.Events, dispatch.Event{
			Kind: quarantineEvent, Number: binary.BigEndian.Uint64(r.Print[:8]), AimMs: int64(binary.BigEndian.Uint64(r.Print[8:])),
			First: dispatch.Tag(r.Upstream), PartMs: r.AgeMs, Rank: int(r.Kind), LeftMs: r.LeftMs, Prompt: r.Times,
			Output: begunNumber(r.Begun), Helpers: packSegments(r.Segments),
		})
	}
	wire.Events = append(wire.Events, m.limitEvents()...)
	wire.Events = append(wire.Events, evacuationEvents(&m.Evacuation)...)
	for _, r := range m.Zones {
		wire.Events = append(wire.Events, dispatch.Event{Kind: zonesEvent, Helpers: []dispatch.Tag{r.From, r.To}})
	}
	for _, r := range m.Shares {
		wire.Events = append(wire.Events, dispatch.Event{
			Kind: shareEvent, First: r.Service, Number: uint64(r.Organisation), PartMs: r.DemandMs, LeftMs: r.GrantMs,
		})
	}
	for _, r := range m.Paces {
		wire.Events = append(wire.Events, dispatch.Event{
			Kind: paceEvent, First: dispatch.Tag(r.Tag), Number: math.Float64bits(r.Pace), Rank: r.Observations, PartMs: r.AgeMs,
		})
	}
	return enc.Encode(&wire)
}

// limitEvents returns the events that carry reports, questions and answers on rate limits.
func (m *DispatchUpdate) limitEvents() []dispatch.Event {
	var events []dispatch.Event
	for _, r := range m.Limits {
		events = append(events, dispatch.Event{
			Kind: limitEvent, First: dispatch.Tag(r.Tag), Number: math.Float64bits(float64(r.Rate)), PartMs: r.AgeMs,
		})
	}
	for _, r := range m.Cold {
		events = append(events, dispatch.Event{Kind: coldEvent, First: dispatch.Tag(r.Tag), LeftMs: r.RestMs})
	}
	if ask := m.PermitAsk; ask != nil {
		events = append(events, dispatch.Event{
			Kind: permitAskEvent, Number: ask.Number, First: dispatch.Tag(ask.Limit.Tag),
			AimMs: int64(math.Float64bits(float64(ask.Limit.Rate))), PartMs: ask.Limit.AgeMs, LeftMs: ask.WithinMs,
			Rank: rankOf(ask.Cold), GapMs: ask.ColdMs,
		})
	}
	if reply := m.PermitReply; reply != nil {
		events = append(events, dispatch.Event{Kind: permitReplyEvent, Number: reply.Number, LeftMs: reply.WaitMs, Rank: rankOf(reply.Granted)})
	}
	return events
}

// rankOf returns the Rank that stands for a truth value.
func rankOf(value bool) int {
	if value {
		return 1
	}
	return 0
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (m *DispatchUpdate) DecodeMsgpack(dec *msgpack.Decoder) error {
	var wire wireDispatchUpdate
	if err := dec.Decode(&wire); err != nil {
		return err
	}
	*m = DispatchUpdate{Origin: wire.Origin, Forward: wire.Forward}
	for _, e := range wire.Events {
		switch e.Kind {
		case reportEvent:
			m.Reports = append(m.Reports, evidence.Report{Tag: uint32(e.First), Kind: evidence.Kind(kindNumber(e.Rank)), AgeMs: e.PartMs})
		case quarantineEvent:
			m.Quarantine = append(m.Quarantine, quarantineReport(&e))
		case partRequestEvent:
			m.PartRequest = &fetch.Request{Version: e.Number, Part: e.Rank}
		case limitEvent:
			m.Limits = append(m.Limits, limitReport(&e, e.Number))
		case permitAskEvent:
			m.PermitAsk = &ratelimit.Ask{
				Number: e.Number, Limit: limitReport(&e, uint64(e.AimMs)), WithinMs: e.LeftMs, Cold: e.Rank == 1, ColdMs: e.GapMs,
			}
		case coldEvent:
			m.Cold = append(m.Cold, slowstart.Report{Tag: uint32(e.First), RestMs: e.LeftMs})
		case permitReplyEvent:
			m.PermitReply = &ratelimit.Reply{Number: e.Number, Granted: e.Rank == 1, WaitMs: e.LeftMs}
		case evacuationEvent:
			addEvacuationEvent(&m.Evacuation, &e)
		case zonesEvent:
			if len(e.Helpers) == 2 {
				m.Zones = append(m.Zones, dispatch.ZoneReport{From: e.Helpers[0], To: e.Helpers[1]})
			}
		case shareEvent:
			m.Shares = append(m.Shares, dispatch.ShareReport{
				Service: e.First, Report: fairshare.Report{Organisation: fairshare.Tag(e.Number), DemandMs: e.PartMs, GrantMs: e.LeftMs},
			})
		case paceEvent:
			m.Paces = append(m.Paces, pace.Report{Tag: uint32(e.First), Pace: math.Float64frombits(e.Number), Observations: e.Rank, AgeMs: e.PartMs})
		default:
			m.Events = append(m.Events, e)
		}
	}
	return nil
}

// limitReport returns the report in an event; bits are those of the rate.
func limitReport(e *dispatch.Event, bits uint64) ratelimit.Report {
	return ratelimit.Report{Tag: uint32(e.First), Rate: ratelimit.Rate(math.Float64frombits(bits)), AgeMs: e.PartMs}
}

func quarantineReport(e *dispatch.Event) quarantine.Report {
	var print fingerprint.Print
	binary.BigEndian.PutUint64(print[:8], e.Number)
	binary.BigEndian.PutUint64(print[8:], uint64(e.AimMs))
	return quarantine.Report{
		Kind: quarantine.Kind(kindNumber(e.Rank)), Print: print, Upstream: uint32(e.First), AgeMs: e.PartMs,
		LeftMs: e.LeftMs, Times: e.Prompt, Begun: e.Output == 1, Segments: unpackSegments(e.Helpers),
	}
}

func begunNumber(begun bool) int {
	if begun {
		return 1
	}
	return 0
}

const (
	// printTags is the number of tags that carry a fingerprint, segmentTags that of a segment.
	printTags   = fingerprint.Size / 4
	segmentTags = printTags + 1
)

func packSegments(segments []quarantine.Segment) []dispatch.Tag {
	var tags []dispatch.Tag
	for _, s := range segments {
		for i := range printTags {
			tags = append(tags, dispatch.Tag(binary.BigEndian.Uint32(s.Print[4*i:])))
		}
		tags = append(tags, dispatch.Tag(s.Answered))
	}
	return tags
}

// unpackSegments inverts packSegments. Tags that make no whole segment are ignored.
func unpackSegments(tags []dispatch.Tag) []quarantine.Segment {
	var segments []quarantine.Segment
	for len(tags) >= segmentTags {
		var s quarantine.Segment
		for i := range printTags {
			binary.BigEndian.PutUint32(s.Print[4*i:], uint32(tags[i]))
		}
		s.Answered = uint32(tags[printTags])
		segments = append(segments, s)
		tags = tags[segmentTags:]
	}
	return segments
}

// kindNumber converts a received number to a kind. It returns zero, which is no kind, if the number
// is out of range.
func kindNumber(n int) uint8 {
	if n < 0 || n > math.MaxUint8 {
		return 0
	}
	return uint8(n)
}
