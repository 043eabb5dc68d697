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

// wireWorks is Works as it travels. Reports and asks travel among the events, under kinds of their
// own: an entry of an older version skips kinds that it doesn't know, whereas a further field, or
// a message of a type that it doesn't know, would cost it the link.
type wireWorks struct {
	Origin call.Incarnation
	Pass   bool
	Events []dispatch.Event
}

// reported is the kind of an event that carries a report: First is its tag, Rank its kind and
// PartMs its age.
const reported dispatch.EventKind = 64

// quarantined is the kind of an event that carries a report on a request: Number and AimMs are the
// halves of its fingerprint, First is the upstream's tag, PartMs the report's age, Rank its kind,
// LeftMs how much longer the request is held back, and Prompt for how many times in a row.
const quarantined dispatch.EventKind = 65

// asked is the kind of an event that asks for a part of the routes: Number is the version and Rank
// the part.
const asked dispatch.EventKind = 66

var (
	_ msgpack.CustomEncoder = (*Works)(nil)
	_ msgpack.CustomDecoder = (*Works)(nil)
)

// EncodeMsgpack implements msgpack.CustomEncoder.
func (m *Works) EncodeMsgpack(enc *msgpack.Encoder) error {
	wire := wireWorks{Origin: m.Origin, Pass: m.Pass, Events: m.Events}
	if n := len(m.Reports) + len(m.Quarantine); n > 0 || m.Ask != nil {
		wire.Events = append(make([]dispatch.Event, 0, len(m.Events)+n+1), m.Events...)
	}
	if m.Ask != nil {
		wire.Events = append(wire.Events, dispatch.Event{Kind: asked, Number: m.Ask.Version, Rank: m.Ask.Part})
	}
	for _, r := range m.Reports {
		wire.Events = append(wire.Events, dispatch.Event{
			Kind: reported, First: dispatch.Tag(r.Tag), Rank: int(r.Kind), PartMs: r.AgeMs,
		})
	}
	for _, r := range m.Quarantine {
		wire.Events = append(wire.Events, dispatch.Event{
			Kind: quarantined, Number: binary.BigEndian.Uint64(r.Print[:8]), AimMs: int64(binary.BigEndian.Uint64(r.Print[8:])),
			First: dispatch.Tag(r.Upstream), PartMs: r.AgeMs, Rank: int(r.Kind), LeftMs: r.LeftMs, Prompt: r.Times,
		})
	}
	return enc.Encode(&wire)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (m *Works) DecodeMsgpack(dec *msgpack.Decoder) error {
	var wire wireWorks
	if err := dec.Decode(&wire); err != nil {
		return err
	}
	*m = Works{Origin: wire.Origin, Pass: wire.Pass}
	for _, e := range wire.Events {
		switch e.Kind {
		case reported:
			m.Reports = append(m.Reports, evidence.Report{Tag: uint32(e.First), Kind: evidence.Kind(kindOf(e.Rank)), AgeMs: e.PartMs})
		case quarantined:
			m.Quarantine = append(m.Quarantine, quarantineOf(&e))
		case asked:
			m.Ask = &fetch.Request{Version: e.Number, Part: e.Rank}
		default:
			m.Events = append(m.Events, e)
		}
	}
	return nil
}

func quarantineOf(e *dispatch.Event) quarantine.Report {
	var print fingerprint.Print
	binary.BigEndian.PutUint64(print[:8], e.Number)
	binary.BigEndian.PutUint64(print[8:], uint64(e.AimMs))
	return quarantine.Report{
		Kind: quarantine.Kind(kindOf(e.Rank)), Print: print, Upstream: uint32(e.First), AgeMs: e.PartMs,
		LeftMs: e.LeftMs, Times: e.Prompt,
	}
}

// kindOf returns the kind that a frame names, or none for a number that is none.
func kindOf(n int) uint8 {
	if n < 0 || n > math.MaxUint8 {
		return 0
	}
	return uint8(n)
}
