package link

import (
	"math"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/core/evidence"
	"github.com/vmihailenco/msgpack/v5"
)

// wireWorks is Works as it travels. Reports travel among the events, under a kind of their own:
// an entry of an older version skips kinds that it doesn't know, whereas a further field would
// cost it the link.
type wireWorks struct {
	Origin call.Incarnation
	Pass   bool
	Events []dispatch.Event
}

// reported is the kind of an event that carries a report: First is its tag, Rank its kind and
// PartMs its age.
const reported dispatch.EventKind = 64

var (
	_ msgpack.CustomEncoder = (*Works)(nil)
	_ msgpack.CustomDecoder = (*Works)(nil)
)

// EncodeMsgpack implements msgpack.CustomEncoder.
func (m *Works) EncodeMsgpack(enc *msgpack.Encoder) error {
	wire := wireWorks{Origin: m.Origin, Pass: m.Pass, Events: m.Events}
	if len(m.Reports) > 0 {
		wire.Events = append(make([]dispatch.Event, 0, len(m.Events)+len(m.Reports)), m.Events...)
	}
	for _, r := range m.Reports {
		wire.Events = append(wire.Events, dispatch.Event{
			Kind: reported, First: dispatch.Tag(r.Tag), Rank: int(r.Kind), PartMs: r.AgeMs,
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
		if e.Kind == reported {
			m.Reports = append(m.Reports, evidence.Report{Tag: uint32(e.First), Kind: kindOf(e.Rank), AgeMs: e.PartMs})
			continue
		}
		m.Events = append(m.Events, e)
	}
	return nil
}

// kindOf returns the kind of evidence that a frame names, or none for a number that is none.
func kindOf(n int) evidence.Kind {
	if n < 0 || n > math.MaxUint8 {
		return 0
	}
	return evidence.Kind(n)
}
