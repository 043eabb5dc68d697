package link

import (
	"time"

	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/core/evacuation"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// evacuationEvent is the kind of an event that carries a part of an evacuation.Report: Rank says which one.
// For a change, Number is its version, Helpers the name of the zone, four bytes each, and Prompt the
// length of the name. For the position, Number is the position.
const evacuationEvent dispatch.EventKind = 70

// The values of Rank in an evacuationEvent.
const (
	evacuationEnded = iota
	evacuationBegun
	evacuationPosition
	evacuationQuery
)

// evacuationEvents returns the events that carry a report.
func evacuationEvents(r *evacuation.Report) []dispatch.Event {
	var events []dispatch.Event
	for _, change := range r.Changes {
		e := dispatch.Event{Kind: evacuationEvent, Rank: evacuationEnded, Number: change.Version, Helpers: packText(change.Zone), Prompt: len(change.Zone)}
		if change.Evacuated {
			e.Rank = evacuationBegun
		}
		events = append(events, e)
	}
	if r.Position > 0 {
		events = append(events, dispatch.Event{Kind: evacuationEvent, Rank: evacuationPosition, Number: r.Position})
	}
	if r.Query {
		events = append(events, dispatch.Event{Kind: evacuationEvent, Rank: evacuationQuery})
	}
	return events
}

// addEvacuationEvent adds what an event carries to a report. It ignores an event that is invalid or of a
// later version.
func addEvacuationEvent(r *evacuation.Report, e *dispatch.Event) {
	switch e.Rank {
	case evacuationEnded, evacuationBegun:
		zone, ok := unpackText(e.Helpers, e.Prompt)
		if ok && evacuation.ValidZone(zone) && e.Number > 0 && len(r.Changes) < evacuation.MaxZones {
			r.Changes = append(r.Changes, evacuation.Change{Zone: zone, Version: e.Number, Evacuated: e.Rank == evacuationBegun})
		}
	case evacuationPosition:
		r.Position = e.Number
	case evacuationQuery:
		r.Query = true
	}
}

// packText packs a text into tags, the first byte being the lowest of the first tag.
func packText(text string) []dispatch.Tag {
	packed := make([]dispatch.Tag, (len(text)+3)/4)
	for i := range len(text) {
		packed[i/4] |= dispatch.Tag(text[i]) << (8 * (i % 4))
	}
	return packed
}

// unpackText returns the text of the given length that packText has packed; ok is false if it has another
// length.
func unpackText(packed []dispatch.Tag, length int) (text string, ok bool) {
	if length < 0 || len(packed) != (length+3)/4 {
		return "", false
	}
	unpacked := make([]byte, length)
	for i := range unpacked {
		unpacked[i] = byte(packed[i/4] >> (8 * (i % 4)))
	}
	return string(unpacked), true
}

var (
	_ msgpack.CustomEncoder = (*FeedUpdate)(nil)
	_ msgpack.CustomDecoder = (*FeedUpdate)(nil)
)

// wireFeedUpdate is the wire format of FeedUpdate. In an update of the routes, Changes carries the
// evacuations, each as a registration whose ID is the zone: an entry that runs an older version ignores
// Changes there, whereas it would close the link on an additional field.
type wireFeedUpdate struct {
	Feed       Feed
	From       uint64
	To         uint64
	Routes     []byte
	Changes    []dispatch.Change
	Omitted    bool
	ReadFailed bool
	Recovered  bool
}

// wireRelayedUpdate is the wire format of a FeedUpdate that is complete or forwarded, which entries of
// older versions don't know. The decoder tells both formats apart by the number of fields. In a complete update From
// carries the age in milliseconds, for the same reason as above.
type wireRelayedUpdate struct {
	Update   wireFeedUpdate
	Complete bool
	Follower string
	Forward  bool
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (u *FeedUpdate) EncodeMsgpack(enc *msgpack.Encoder) error {
	wire := wireFeedUpdate{u.Feed, u.From, u.To, u.Routes, u.Changes, u.Omitted, u.ReadFailed, u.Recovered}
	if u.Feed == FeedRoutes {
		wire.Changes = nil
		for _, change := range u.Evacuations {
			wire.Changes = append(wire.Changes, dispatch.Change{
				Upstream: dispatch.Upstream{ID: change.Zone}, Revision: change.Version, Removed: !change.Evacuated,
			})
		}
	}
	if !u.Complete && u.Follower == "" && !u.Forward {
		return enc.Encode(&wire)
	}
	if u.Complete {
		wire.From = uint64(max(u.Age, 0) / time.Millisecond)
	}
	return enc.Encode(&wireRelayedUpdate{wire, u.Complete, u.Follower, u.Forward})
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (u *FeedUpdate) DecodeMsgpack(dec *msgpack.Decoder) error {
	relayed, err := decodeRelayedUpdate(dec)
	if err != nil {
		return err
	}
	wire := relayed.Update
	*u = FeedUpdate{
		Feed: wire.Feed, From: wire.From, To: wire.To, Routes: wire.Routes, Changes: wire.Changes, Omitted: wire.Omitted,
		ReadFailed: wire.ReadFailed, Recovered: wire.Recovered,
		Complete: relayed.Complete, Follower: relayed.Follower, Forward: relayed.Forward,
	}
	if u.Complete {
		u.From, u.Age = 0, time.Duration(min(wire.From, maxAgeMs))*time.Millisecond
	}
	if u.Feed != FeedRoutes {
		return nil
	}
	u.Changes = nil
	for _, change := range wire.Changes {
		if evacuation.ValidZone(change.ID) && change.Revision > 0 {
			u.Evacuations = append(u.Evacuations, evacuation.Change{Zone: change.ID, Version: change.Revision, Evacuated: !change.Removed})
		}
	}
	return nil
}

// decodeRelayedUpdate decodes either format of a FeedUpdate.
func decodeRelayedUpdate(dec *msgpack.Decoder) (wire wireRelayedUpdate, err error) {
	code, err := dec.PeekCode()
	if err != nil {
		return wire, err
	}
	if code == msgpcode.FixedArrayLow|relayedUpdateFields {
		return wire, dec.Decode(&wire)
	}
	return wire, dec.Decode(&wire.Update)
}

// maxAgeMs bounds the age of a complete update, far beyond the age at which one is of use.
const maxAgeMs = 60_000

// relayedUpdateFields is the number of fields of wireRelayedUpdate.
const relayedUpdateFields = 4
