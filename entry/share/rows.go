package share

import (
	"context"
	cryptorand "crypto/rand"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"acaciacleat.example/core/overlay"
	"acaciacleat.example/peers/link"
	"acaciacleat.example/peers/pause"
	"acaciacleat.example/peers/table"
	"github.com/pkg/errors"
)

// The table of relays has one row for each slot and one for the key of links, so that one read of bounded
// size tells an entry that starts all that it needs to reach the others.

const (
	// keyRow is the row that holds the shared key; keyBytes is the key's length.
	keyRow   = "key"
	keyBytes = 32
	// readInterval is the interval at which a relay reads the slots again. Other entries learn of
	// changes from relays.
	readInterval = time.Minute
	// lonelyAfter is how long an entry is without a link to any relay of its zone before it reads
	// the slots again.
	lonelyAfter = 3 * time.Second
	// minReadPause is the pause after a failed read or claim; it doubles up to maxReadPause.
	minReadPause = 500 * time.Millisecond
	maxReadPause = 8 * time.Second
)

// slotRow is the value of a slot's row. The key is the zone, a slash and the slot's number.
type slotRow struct {
	VM   string `json:"vm"`
	Link string `json:"link"`
}

// rows is what Peers keeps of the table of relays. Only one goroutine uses it, except for the fields
// about sizes, which Peers.mu guards.
type rows struct {
	random *rand.Rand
	// readAt is when the table was last read, and failedPause the pause after the last failure.
	readAt      time.Time
	failedPause time.Duration
	// notBefore is when the store may be called again after a failure.
	notBefore time.Time
	// claimAt is when the table is read in order to claim a slot; zero if none can be claimed.
	claimAt time.Time
	// lonelyPause is the pause between reads of an entry that reaches no relay; zero if it reaches one.
	lonelyPause    time.Duration
	reportedSize   overlay.ZoneSize
	sizeReportedAt time.Time
}

// backOff returns the pause after a failure. It is random, so that entries that failed together don't
// return together.
func (r *rows) backOff() time.Duration {
	r.failedPause = min(max(2*r.failedPause, minReadPause), maxReadPause)
	return r.failedPause/2 + time.Duration(r.random.Int64N(int64(r.failedPause)))
}

// readKey returns the key that all entries share. If there is none or a damaged one, it writes a new one.
func (p *Peers) readKey(ctx context.Context) ([]byte, error) {
	waited := p.config.FirstStart
	if waited {
		pause.For(ctx, p.config.Machine.ClaimDelay(p.rows.random))
	}
	for ctx.Err() == nil {
		stored, err := p.readRelays(ctx)
		if err != nil {
			p.config.Log.Info().Err(err).Msg("the key of links could not be read yet")
			pause.For(ctx, p.rows.backOff())
			continue
		}
		key, found := storedKey(stored)
		switch {
		case len(key) == keyBytes:
			return key, nil
		case !waited:
			// Others may be about to write it.
			waited = true
			pause.For(ctx, p.config.Machine.ClaimDelay(p.rows.random))
			continue
		}
		if err := p.writeKey(ctx, found); err != nil && !errors.Is(err, table.ErrConflict) {
			p.config.Log.Info().Err(err).Msg("the key of links could not be written; trying again")
			pause.For(ctx, p.rows.backOff())
		}
		// Another entry may have written the row, so the key to use is read from it.
	}
	return nil, ctx.Err()
}

func storedKey(stored []table.Row) (key []byte, found bool) {
	for _, row := range stored {
		if row.Key.Row == keyRow {
			return row.Value, true
		}
	}
	return nil, false
}

// writeKey writes a new key; damaged says that it replaces another one.
func (p *Peers) writeKey(ctx context.Context, damaged bool) error {
	key := make([]byte, keyBytes)
	// crypto/rand.Read never fails on the systems that Go supports.
	_, _ = cryptorand.Read(key)
	p.counters.storeCalls.Add(1)
	at := table.Key{Table: p.config.Relays, Row: keyRow}
	if !damaged {
		return p.config.Store.Insert(ctx, at, key)
	}
	// No entry has written an empty or short key. Links that used it would accept anyone.
	p.config.Log.Error().Msg("the key of links is damaged; writing a new one")
	err := p.config.Store.Put(ctx, at, key)
	pause.For(ctx, minReadPause) // Other entries may write at the same time; the last write wins.
	return err
}

// readRelays reads the table of relays and takes up the slots.
func (p *Peers) readRelays(ctx context.Context) ([]table.Row, error) {
	p.counters.storeCalls.Add(1)
	stored, extent, err := p.config.Store.All(ctx, p.config.Relays)
	if err != nil {
		return nil, err
	}
	p.rows.readAt, p.rows.failedPause = time.Now(), 0
	p.rows.lonelyPause = min(2*p.rows.lonelyPause, readInterval)
	var relays []overlay.Relay
	var faults int
	var first error
	for _, row := range stored {
		if row.Key.Row == keyRow {
			continue
		}
		relay, err := decodeRelay(row)
		if err == nil && len(relays) >= maxRelays {
			err = errors.Errorf("row %.50q: more than %d relays", row.Key.Row, maxRelays)
		}
		if err == nil {
			relays = append(relays, relay)
			continue
		}
		faults++
		if first == nil {
			first = err
		}
	}
	if faults > 0 {
		p.counters.invalidRelays.Add(uint64(faults))
		p.config.Log.Error().Err(first).Int("rows", faults).Msg("rows of relays that could not be decoded; they are left out")
	}
	p.mu.Lock()
	changed := p.directory.SetAll(relays, extent.Rows)
	if changed {
		p.linksChanged()
	}
	p.mu.Unlock()
	if changed {
		p.relaysChanged()
	}
	return stored, nil
}

// decodeRelay decodes the row of a slot.
func decodeRelay(row table.Row) (overlay.Relay, error) {
	var value slotRow
	if row.Damaged || json.Unmarshal(row.Value, &value) != nil {
		return overlay.Relay{}, errors.Errorf("row %.50q can't be read", row.Key.Row)
	}
	at := strings.LastIndexByte(row.Key.Row, '/')
	if at <= 0 || value.VM == "" {
		return overlay.Relay{}, errors.Errorf("row %.50q names no zone or no VM", row.Key.Row)
	}
	slot, err := strconv.Atoi(row.Key.Row[at+1:])
	if err != nil || slot < 0 || slot >= overlay.RelaysPerZone {
		return overlay.Relay{}, errors.Errorf("row %.50q: the slot must be from 0 to %d", row.Key.Row, overlay.RelaysPerZone-1)
	}
	if address, err := netip.ParseAddrPort(value.Link); err != nil || address.Port() == 0 {
		return overlay.Relay{}, errors.Errorf("row %.50q: the link's address is %.50q", row.Key.Row, value.Link)
	}
	return overlay.Relay{VM: value.VM, Zone: row.Key.Row[:at], Link: value.Link, Slot: slot, Version: row.Version}, nil
}

// updateRelays reads the slots again if that is due, and claims one if there is one to claim.
func (p *Peers) updateRelays(ctx context.Context) {
	now := time.Now()
	if now.Before(p.rows.notBefore) || !p.tryClaim(ctx, now) && !now.After(p.nextRead(now)) {
		return
	}
	if _, err := p.readRelays(ctx); err != nil {
		wait := p.rows.backOff()
		p.config.Log.Info().Err(err).Dur("again_ms", wait).Msg("the relays could not be read; trying again")
		p.rows.notBefore = time.Now().Add(wait)
	}
}

// nextRead returns when the slots are to be read again.
func (p *Peers) nextRead(now time.Time) time.Time {
	p.mu.Lock()
	paths := p.currentPaths()
	p.mu.Unlock()
	switch {
	case paths.Relay():
		return p.rows.readAt.Add(readInterval)
	case len(paths.ZoneRelays()) > 0 || now.Sub(p.startAt) < lonelyAfter:
		p.rows.lonelyPause = 0
		return now.Add(readInterval)
	}
	if p.rows.lonelyPause == 0 {
		p.rows.lonelyPause = lonelyAfter + time.Duration(p.rows.random.Int64N(int64(lonelyAfter)))
	}
	return p.rows.readAt.Add(p.rows.lonelyPause)
}

// tryClaim claims a slot of this zone if there is one to claim. It reports whether the slots must be read
// to learn the result.
func (p *Peers) tryClaim(ctx context.Context, now time.Time) (claimed bool) {
	claim, ok := p.nextClaim(now)
	switch {
	case !ok:
		p.rows.claimAt = time.Time{}
		return false
	case p.rows.claimAt.IsZero():
		p.rows.claimAt = now
		if !p.config.Machine.Suited() && !p.config.FirstStart || now.Sub(p.rows.readAt) > overlay.FreshRead {
			p.rows.claimAt = now.Add(p.config.Machine.ClaimDelay(p.rows.random))
		}
	}
	if now.Before(p.rows.claimAt) {
		return false
	}
	if now.Sub(p.rows.readAt) > overlay.FreshRead {
		if _, err := p.readRelays(ctx); err != nil {
			p.config.Log.Info().Err(err).Msg("the relays could not be read before a claim; trying again")
			p.rows.notBefore = now.Add(p.rows.backOff())
			return false
		}
		if claim, ok = p.nextClaim(now); !ok {
			return false
		}
	}
	if err := p.claim(ctx, claim); err != nil {
		p.config.Log.Info().Err(err).Int("slot", claim.Slot).Msg("a relay's slot could not be claimed")
		p.rows.notBefore = now.Add(p.rows.backOff())
	}
	return true
}

func (p *Peers) nextClaim(now time.Time) (overlay.Claim, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if own, relay := p.directory.Find(p.config.Self.VM); relay {
		// After a restart the entry may listen on another address than its row says.
		return overlay.Claim{Slot: own.Slot, Replaces: own.Version}, own.Link != p.node.Addr()
	}
	return p.directory.NextClaim(p.config.Self.Zone, p.rows.random, func(vm string) time.Duration {
		known := p.known[vm]
		if known == nil || known.conn != nil {
			return 0
		}
		return max(now.Sub(known.unreachableSince), 1)
	})
}

// claim writes this entry's row into a slot.
func (p *Peers) claim(ctx context.Context, claim overlay.Claim) error {
	value, err := json.Marshal(slotRow{VM: p.config.Self.VM, Link: p.node.Addr()})
	if err != nil {
		return errors.Wrap(err, "encode row")
	}
	p.counters.storeCalls.Add(1)
	at := table.Key{Table: p.config.Relays, Row: p.config.Self.Zone + "/" + strconv.Itoa(claim.Slot)}
	if claim.Replaces > 0 {
		return p.config.Store.Replace(ctx, at, claim.Replaces, value)
	}
	return p.config.Store.Insert(ctx, at, value)
}

// announce tells the linked entries of this entry's slot.
func (p *Peers) announce() {
	p.mu.Lock()
	relay, ok := p.directory.Find(p.config.Self.VM)
	p.mu.Unlock()
	if ok {
		p.broadcastOverlay(link.Overlay{Relays: []overlay.Relay{relay}})
	}
}
