package link

import (
	"encoding/binary"
	"math"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/core/evidence"
	"acaciacleat.example/core/fetch"
	"acaciacleat.example/core/fingerprint"
	"acaciacleat.example/core/quarantine"
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
// milliseconds, and Prompt is the number of consecutive quarantines.
const quarantineEvent dispatch.EventKind = 65

// partRequestEvent is the kind of an event that requests a part of the routing table: Number is the
// version and Rank the part.
const partRequestEvent dispatch.EventKind = 66

var (
	_ msgpack.CustomEncoder = (*DispatchUpdate)(nil)
	_ msgpack.CustomDecoder = (*DispatchUpdate)(nil)
)

// EncodeMsgpack implements msgpack.CustomEncoder.
func (m *DispatchUpdate) EncodeMsgpack(enc *msgpack.Encoder) error {
	wire := wireDispatchUpdate{Origin: m.Origin, Forward: m.Forward, Events: m.Events}
	if n := len(m.Reports) + len(m.Quarantine); n > 0 || m.PartRequest != nil {
		wire.Events = append(make([]dispatch.Event, 0, len(m.Events)+n+1), m.Events...)
	}
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
		})
	}
	return enc.Encode(&wire)
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
		default:
			m.Events = append(m.Events, e)
		}
	}
	return nil
}

func quarantineReport(e *dispatch.Event) quarantine.Report {
	var print fingerprint.Print
	binary.BigEndian.PutUint64(print[:8], e.Number)
	binary.BigEndian.PutUint64(print[8:], uint64(e.AimMs))
	return quarantine.Report{
		Kind: quarantine.Kind(kindNumber(e.Rank)), Print: print, Upstream: uint32(e.First), AgeMs: e.PartMs,
		LeftMs: e.LeftMs, Times: e.Prompt,
	}
}

// kindNumber converts a received number to a kind. It returns zero, which is no kind, if the number
// is out of range.
func kindNumber(n int) uint8 {
	if n < 0 || n > math.MaxUint8 {
		return 0
	}
	return uint8(n)
}
