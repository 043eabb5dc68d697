package directory

import (
	"slices"

	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/core/follow"
	"acaciacleat.example/peers/link"
	"acaciacleat.example/peers/table"
)

// batch is an update of a feed that this entry has read or that another one has sent, with what the other entries don't
// need of it.
type batch struct {
	*link.FeedUpdate
	origin origin
	// extent says how far the answer of the store reaches.
	extent table.Extent
	// routesRevision is the revision of the row that holds Routes; zero if it is unknown.
	routesRevision uint64
	// faults are the errors of registrations that could not be decoded, and corrections those of registrations with a value that
	// doesn't count as it is, by their keys.
	faults, corrections map[string]error
	// news are the revisions of the changes that this entry did not know.
	news []uint64
	// lacked are the changes that this entry lacked although it had read the feed before, and lacksRoutes says that Routes
	// are among them. They are only known of a read of everything.
	lacked      []dispatch.Change
	lacksRoutes bool
}

// whole reports whether the batch lists everything rather than changes.
func (b *batch) whole() bool { return b.Complete || b.origin == fromStore && b.From == 0 }

// answer returns what the batch says of the feed.
func (b *batch) answer() follow.Answer {
	return follow.Answer{
		Named: follow.Position(b.extent.Named), Rows: follow.Position(b.extent.Rows), Large: len(b.Routes) > maxRoutesBytes,
		Full: b.extent.Full,
	}
}

// rows returns the number of changes.
func (b *batch) rows() int {
	rows := len(b.Changes) + len(b.Evacuations)
	if len(b.Routes) > 0 {
		rows++
	}
	return rows
}

// noteNews records the revisions of changes that this entry did not know. That an upstream is removed which a list of all
// has lacked is none.
func (b *batch) noteNews(known registrations, changes []dispatch.Change) {
	for i := range changes {
		if _, listed := known[changes[i].ID]; listed || !changes[i].Removed {
			b.news = append(b.news, changes[i].Revision)
		}
	}
}

// dropKnown removes the changes that other entries have too: those up to the position from which they go on, unless they are
// among news.
func (b *batch) dropKnown(news []dispatch.Change) {
	fresh := make(map[string]uint64, len(news))
	for i := range news {
		fresh[news[i].ID] = news[i].Revision
	}
	b.Changes = slices.DeleteFunc(slices.Clone(b.Changes), func(change dispatch.Change) bool {
		revision, isNews := fresh[change.ID]
		return change.Revision > 0 && change.Revision <= b.From && !(isNews && revision == change.Revision)
	})
}

// outgoing returns the update to forward. A read from the beginning lists the present state and cannot say what was removed,
// so only its position is forwarded, and what this entry lacked.
func (b *batch) outgoing() *link.FeedUpdate {
	outgoing := *b.FeedUpdate
	if b.From == 0 {
		outgoing.From, outgoing.Changes, outgoing.Evacuations = b.To, b.lacked, nil
		if !b.lacksRoutes {
			outgoing.Routes = nil
		}
	}
	return &outgoing
}
