package share

import (
	"context"
	"time"

	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/core/overlay"
	"acaciacleat.example/core/slowstart"
	"acaciacleat.example/peers/link"
	"acaciacleat.example/peers/pause"
)

// runBroadcasts sends this entry's placements and its observations of upstreams to all other
// entries, in batches.
func (p *Peers) runBroadcasts(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.config.Fleet.Pending():
		case <-p.config.Quarantine.Pending():
		case <-p.config.Evacuations.Pending():
		}
		pause.For(ctx, batchDelay)
		now := time.Now()
		message := link.DispatchUpdate{
			Origin:     p.config.Self.Incarnation,
			Events:     p.config.Fleet.TakeEvents(),
			Reports:    p.config.Fleet.TakeReports(now),
			Limits:     p.config.Fleet.TakeLimitReports(now),
			Cold:       p.coldReports(now),
			Paces:      p.config.Fleet.TakePaces(now),
			Quarantine: p.config.Quarantine.Reports(),
			Evacuation: p.config.Evacuations.TakeReport(p.isRelay()),
			Shares:     p.config.Fleet.TakeShareReports(now),
			Zones:      p.zoneReports(now),
		}
		if !message.IsEmpty() {
			p.broadcast(message)
		}
	}
}

// coldReports returns the cold times to report. The entries that read the store report what they have
// read.
func (p *Peers) coldReports(now time.Time) []slowstart.Report {
	if !p.config.Fleet.ColdReportsPending() {
		return nil
	}
	return p.config.Fleet.TakeColdReports(now, !p.Role().Listens())
}

// cutReporters is the number of relays of a zone that repeat its cuts.
const cutReporters = 2

// zoneReports returns the cuts to report. A few relays of a zone repeat theirs.
func (p *Peers) zoneReports(now time.Time) []dispatch.ZoneReport {
	if p.config.Fleet.CutZones() == 0 {
		return nil
	}
	p.mu.Lock()
	paths := p.currentPaths()
	p.mu.Unlock()
	return p.config.Fleet.ZoneReports(now, paths.Speaks(p.config.Self.Zone, cutReporters))
}

// broadcast sends a message to all entries.
func (p *Peers) broadcast(message link.DispatchUpdate) {
	p.sendToAll(func(forward bool) link.Message {
		message.Forward = forward
		return &message
	})
}

func (p *Peers) broadcastOverlay(message link.Overlay) {
	p.sendToAll(func(forward bool) link.Message {
		message.Forward = forward
		return &message
	})
}

// sendToAll sends a message of this entry to all others. with returns it with or without the request to
// forward it.
func (p *Peers) sendToAll(with func(forward bool) link.Message) {
	p.mu.Lock()
	route := p.currentPaths().Own()
	p.mu.Unlock()
	p.sendAlong(route, "", with)
}

// forward passes a message on that another entry has sent to be forwarded.
func (p *Peers) forward(c *link.Conn, with func(forward bool) link.Message) {
	sender := overlay.Peer{VM: c.Peer().VM, Zone: c.Peer().Zone}
	p.mu.Lock()
	route := p.currentPaths().Onward(sender)
	p.mu.Unlock()
	p.counters.forwarded.Add(1)
	p.sendAlong(route, sender.VM, with)
}

// sendAlong sends a message along a route, except to one entry. The message is encoded once for all
// receivers.
func (p *Peers) sendAlong(route overlay.Route, except string, with func(forward bool) link.Message) {
	p.sendEncoded(route.Direct, except, with(false))
	p.sendEncoded(route.Forward, except, with(true))
}

func (p *Peers) sendEncoded(vms []string, except string, message link.Message) {
	if len(vms) == 0 {
		return
	}
	encoded, err := link.Encode(message)
	if err != nil {
		p.logSendFailure(err, "all")
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, vm := range vms {
		known := p.known[vm]
		if vm == except || known == nil || known.conn == nil {
			continue
		}
		if err := known.conn.Send(encoded); err != nil {
			p.logSendFailure(err, vm)
		}
	}
}
