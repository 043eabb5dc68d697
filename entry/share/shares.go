package share

import (
	"time"

	"acaciacleat.example/core/fairshare"
	"acaciacleat.example/core/routes"
	"acaciacleat.example/peers/link"
)

// organisations are the tags of the organisations of one version of the routes.
type organisations struct {
	table *routes.Table
	tags  map[fairshare.Tag]bool
}

// of brings the tags up to date with a table.
func (o *organisations) of(table *routes.Table) {
	if o.tags != nil && o.table == table {
		return
	}
	o.table, o.tags = table, map[fairshare.Tag]bool{fairshare.TagOf(""): true}
	if table == nil {
		return
	}
	for name := range table.OrganisationNames() {
		o.tags[fairshare.TagOf(name)] = true
	}
}

// logInterval is the least time between two log lines on dropped reports.
const logInterval = 10 * time.Second

// applyShares applies an entry's reports on organisations' shares.
func (p *Peers) applyShares(c *link.Conn, now time.Time, m *link.DispatchUpdate) {
	if len(m.Shares) == 0 {
		return
	}
	p.organisationsMu.Lock()
	defer p.organisationsMu.Unlock()
	p.organisations.of(p.config.Table())
	exists := func(tag fairshare.Tag) bool { return p.organisations.tags[tag] }
	if dropped := p.config.Fleet.ApplyShareReports(now, uint64(m.Origin), m.Shares, exists); dropped > 0 && now.Sub(p.droppedLoggedAt) > logInterval {
		p.droppedLoggedAt = now
		p.config.Log.Warn().Str("entry", c.Peer().VM).Int("reports", dropped).
			Msg("reports on shares of engine time are dropped: their organisation or service doesn't exist here, or their figures can't be true; compare the routes of both entries")
	}
}
