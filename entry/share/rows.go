package share

import (
	"context"
	cryptorand "crypto/rand"
	"encoding/json"
	"net/netip"
	"slices"
	"time"

	"acaciacleat.example/peers/pause"
	"acaciacleat.example/peers/table"
	"github.com/pkg/errors"
)

// secret returns the key that all entries share. An entry that finds none or a damaged one writes a
// new one.
func (p *Peers) secret(ctx context.Context) ([]byte, error) {
	for ctx.Err() == nil {
		rows, _, err := p.config.Store.All(ctx, p.config.Tables.Secrets)
		if err != nil {
			p.config.Log.Info().Err(err).Msg("the key of links could not be read yet")
			pause.For(ctx, storeRetryInterval)
			continue
		}
		i := slices.IndexFunc(rows, func(r table.Row) bool { return r.Key.Row == secretRow })
		if i >= 0 && len(rows[i].Value) == secretBytes {
			return rows[i].Value, nil
		}
		key := table.Key{Table: p.config.Tables.Secrets, Row: secretRow}
		if i >= 0 {
			// No entry has written an empty or short key. Links that used it would accept anyone.
			p.config.Log.Error().Int("bytes", len(rows[i].Value)).Msg("the key of links is damaged; writing a new one")
			err = p.config.Store.Put(ctx, key, newSecret())
		} else {
			err = p.config.Store.Insert(ctx, key, newSecret())
		}
		failed := err != nil && !errors.Is(err, table.ErrConflict)
		if failed {
			p.config.Log.Info().Err(err).Msg("the key of links could not be written; trying again")
		}
		if failed || i >= 0 {
			pause.For(ctx, storeRetryInterval) // Other entries may write at the same time; the last write wins.
		}
		// Another entry may have written the row, so the key to use is read from it.
	}
	return nil, ctx.Err()
}

// register writes this entry's row and reads those of the others.
func (p *Peers) register(ctx context.Context) error {
	value, err := json.Marshal(entryRow{VM: p.config.Self.VM, Link: p.node.Addr()})
	if err != nil {
		return errors.Wrap(err, "encode row")
	}
	if err := p.config.Store.Put(ctx, p.key(p.config.Self.VM), value); err != nil {
		return err
	}
	rows, _, err := p.config.Store.All(ctx, p.config.Tables.Entries)
	if err != nil {
		return err
	}
	p.addEntries(rows)
	p.notifyEntries()
	return nil
}

// maxEntries bounds the number of entries that are dialled, at several times the size that the
// system is designed for.
const maxEntries = 2000

// addEntries adds the entries whose rows can be decoded, and logs the other rows in one line.
func (p *Peers) addEntries(rows []table.Row) {
	var faults int
	var first error
	for i, r := range rows {
		other, err := decodeEntry(r)
		if err == nil && i >= maxEntries {
			err = errors.Errorf("row %.50q: more than %d entries", r.Key.Row, maxEntries)
		}
		switch {
		case err == nil:
			p.addEntry(other)
		case first == nil:
			first = err
			fallthrough
		default:
			faults++
		}
	}
	if faults > 0 {
		p.config.Log.Error().Err(first).Int("rows", faults).Msg("rows of entries that could not be decoded; they are left out")
	}
}

// decodeEntry decodes an entry's row. A row whose key is not its VM, or whose link has no
// address, was not written by an entry.
func decodeEntry(r table.Row) (entryRow, error) {
	var other entryRow
	if r.Damaged || json.Unmarshal(r.Value, &other) != nil {
		return entryRow{}, errors.Errorf("row %.50q can't be read", r.Key.Row)
	}
	if other.VM == "" || other.VM != r.Key.Row {
		return entryRow{}, errors.Errorf("row %.50q is that of another VM, %.50q", r.Key.Row, other.VM)
	}
	if at, err := netip.ParseAddrPort(other.Link); err != nil || at.Port() == 0 {
		return entryRow{}, errors.Errorf("row %.50q: the link's address is %.50q", r.Key.Row, other.Link)
	}
	return other, nil
}

// key returns the key of an entry's row.
func (p *Peers) key(vm string) table.Key {
	return table.Key{Table: p.config.Tables.Entries, Row: vm}
}

// addEntry adds another entry or updates its address.
func (p *Peers) addEntry(other entryRow) {
	if other.VM == p.config.Self.VM {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.known[other.VM]
	if known == nil {
		known = &peer{unreachableSince: time.Now()}
		p.known[other.VM] = known
	}
	known.row = other
}

// maintainLinks registers this entry and dials the others periodically until ctx ends.
func (p *Peers) maintainLinks(ctx context.Context) {
	var registered time.Time
	for ctx.Err() == nil {
		if now := time.Now(); now.Sub(registered) > registerInterval {
			if err := p.register(ctx); err != nil {
				p.config.Log.Info().Err(err).Msg("rows of entries could not be read or written; trying again")
			} else {
				registered = now
			}
		}
		if p.dial(ctx) > 0 {
			p.notifyEntries()
		}
		pause.For(ctx, dialInterval)
	}
}

// dial dials the entries without a link and removes those that have been unreachable for
// removeAfter. It returns the number that it has removed.
func (p *Peers) dial(ctx context.Context) (removed int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for vm, known := range p.known {
		switch {
		case known.conn != nil, known.dialling:
		case time.Since(known.unreachableSince) > removeAfter:
			delete(p.known, vm)
			removed++
			go p.removeRow(ctx, vm)
		default:
			known.dialling = true
			go p.connect(ctx, vm, known.row.Link)
		}
	}
	return removed
}

// connect dials an entry. OnOpen records the link.
func (p *Peers) connect(ctx context.Context, vm, address string) {
	_, err := p.node.Dial(ctx, vm, address)
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.known[vm]; known != nil {
		known.dialling = false
	}
	if err != nil {
		p.config.Log.Debug().Err(err).Str("entry", vm).Msg("entry could not be dialled")
	}
}

func (p *Peers) removeRow(ctx context.Context, vm string) {
	if err := p.config.Store.Remove(ctx, p.key(vm)); err != nil {
		p.config.Log.Info().Err(err).Str("entry", vm).Msg("row of an entry could not be removed")
	}
}

// deregisterTimeout bounds the removal of this entry's own row on shutdown.
const deregisterTimeout = 300 * time.Millisecond

func (p *Peers) deregister() {
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancel()
	p.removeRow(ctx, p.config.Self.VM)
}

func newSecret() []byte {
	secret := make([]byte, secretBytes)
	// crypto/rand.Read never fails on the systems that Go supports.
	_, _ = cryptorand.Read(secret)
	return secret
}
