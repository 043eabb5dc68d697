package share

import (
	"context"
	"math/rand/v2"
	"time"

	"acaciacleat.example/core/evacuation"
	"acaciacleat.example/peers/link"
	"acaciacleat.example/peers/pause"
)

// A relay passes on each change of the evacuated zones that is new to it, once, and any other entry what it
// has read itself. An entry that none of these reach and that has lost the store asks others.

// handleEvacuation applies another entry's report, and answers what it asks.
func (p *Peers) handleEvacuation(now time.Time, c *link.Conn, m *link.DispatchUpdate) {
	p.config.Evacuations.Receive(now, c.Peer().VM, m.Evacuation)
	if m.Evacuation.Query {
		p.sendTo(c, &link.DispatchUpdate{Origin: p.config.Self.Incarnation, Evacuation: p.config.Evacuations.Current()})
	}
}

// evacuationHolders is the number of entries that an entry without the store asks at a time. One of them may
// have lost the store too.
const evacuationHolders = 2

// queryInterval is the interval at which an entry without the store asks others. With the time in which it
// notices the loss, it is below half of the time in which an evacuation must be in force.
const queryInterval = time.Second

// runEvacuationQueries asks other entries for the evacuated zones while this entry has lost the store.
func (p *Peers) runEvacuationQueries(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, queryInterval)
		if p.config.Evacuations.SourceLost() {
			p.askForEvacuations()
		}
	}
}

func (p *Peers) askForEvacuations() {
	p.mu.Lock()
	var linked []string
	for vm, known := range p.known {
		if known.conn != nil {
			linked = append(linked, vm)
		}
	}
	p.mu.Unlock()
	rand.Shuffle(len(linked), func(i, j int) { linked[i], linked[j] = linked[j], linked[i] })
	p.sendEncoded(linked[:min(len(linked), evacuationHolders)], "", &link.DispatchUpdate{
		Origin: p.config.Self.Incarnation, Evacuation: evacuation.Report{Query: true},
	})
}
