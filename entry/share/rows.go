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

// secret returns the key of all entries. The first entry that finds none makes it.
func (p *Peers) secret(ctx context.Context) ([]byte, error) {
	for ctx.Err() == nil {
		rows, _, err := p.config.Store.All(ctx, p.config.Tables.Secrets)
		if err != nil {
			p.config.Log.Info().Err(err).Msg("the key of links could not be read yet")
			pause.For(ctx, retryEvery)
			continue
		}
		i := slices.IndexFunc(rows, func(r table.Row) bool { return r.Key.Row == secretRow })
		if i >= 0 && len(rows[i].Value) == secretBytes {
			return rows[i].Value, nil
		}
		key := table.Key{Table: p.config.Tables.Secrets, Row: secretRow}
		if i >= 0 {
			// Another writer's: links on an empty or short key would take in anybody.
			p.config.Log.Error().Int("bytes", len(rows[i].Value)).Msg("the key of links is damaged; writing a new one")
			err = p.config.Store.Put(ctx, key, newSecret())
		} else {
			err = p.config.Store.Insert(ctx, key, newSecret())
		}
		failed := err != nil && !errors.Is(err, table.ErrConflict)
		if failed {
			p.config.Log.Info().Err(err).Msg("the key of links could not be written yet")
		}
		if failed || i >= 0 {
			pause.For(ctx, retryEvery) // Others may write at the same moment; the last one counts.
		}
		// What stands in the row now counts, whoever wrote it.
	}
	return nil, ctx.Err()
}

// register writes this entry's row and reads those of the others.
func (p *Peers) register(ctx context.Context) error {
	value, err := json.Marshal(row{VM: p.config.Self.VM, Link: p.node.Addr()})
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
	p.meetAll(rows)
	return nil
}

// mostEntries bounds the entries that are dialled: some times the size designed for.
const mostEntries = 2000

// meetAll takes up the entries whose rows can be read, and tells of the others in one line.
func (p *Peers) meetAll(rows []table.Row) {
	var faults int
	var first error
	for i, r := range rows {
		other, err := decodeEntry(r)
		if err == nil && i >= mostEntries {
			err = errors.Errorf("row %.50q: more than %d entries", r.Key.Row, mostEntries)
		}
		switch {
		case err == nil:
			p.meet(other)
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

// decodeEntry decodes an entry's row. One whose key is not its VM, or whose link has no
// address, is another writer's.
func decodeEntry(r table.Row) (row, error) {
	var other row
	if r.Damaged || json.Unmarshal(r.Value, &other) != nil {
		return row{}, errors.Errorf("row %.50q can't be read", r.Key.Row)
	}
	if other.VM == "" || other.VM != r.Key.Row {
		return row{}, errors.Errorf("row %.50q is that of another VM, %.50q", r.Key.Row, other.VM)
	}
	if at, err := netip.ParseAddrPort(other.Link); err != nil || at.Port() == 0 {
		return row{}, errors.Errorf("row %.50q: the link's address is %.50q", r.Key.Row, other.Link)
	}
	return other, nil
}

func (p *Peers) key(vm string) table.Key {
	return table.Key{Table: p.config.Tables.Entries, Row: vm}
}

// meet takes up another entry, or its new address.
func (p *Peers) meet(other row) {
	if other.VM == p.config.Self.VM {
		return
	}
	p.mu.Lock()
	known := p.known[other.VM]
	if known == nil {
		known = &peer{unreachable: time.Now()}
		p.known[other.VM] = known
	}
	known.row = other
	n := len(p.known) + 1
	p.mu.Unlock()
	p.config.Entries(n)
}

// look registers and dials, again and again.
func (p *Peers) look(ctx context.Context) {
	var registered time.Time
	for ctx.Err() == nil {
		if now := time.Now(); now.Sub(registered) > rowsEvery {
			if err := p.register(ctx); err != nil {
				p.config.Log.Info().Err(err).Msg("entries' rows could not be read or written yet")
			} else {
				registered = now
			}
		}
		p.dial(ctx)
		pause.For(ctx, lookEvery)
	}
}

// dial dials the entries without a link and gives up those that are gone for long.
func (p *Peers) dial(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for vm, known := range p.known {
		switch {
		case known.conn != nil, known.dialling:
		case time.Since(known.unreachable) > giveUpAfter:
			delete(p.known, vm)
			go p.remove(ctx, vm)
		default:
			known.dialling = true
			go p.connect(ctx, vm, known.row.Link)
		}
	}
}

func (p *Peers) connect(ctx context.Context, vm, address string) {
	_, err := p.node.Dial(ctx, vm, address)
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.known[vm]; known != nil {
		known.dialling = false
	}
	if err != nil {
		p.config.Log.Debug().Err(err).Str("entry", vm).Msg("entry not reached")
	}
}

func (p *Peers) remove(ctx context.Context, vm string) {
	if err := p.config.Store.Remove(ctx, p.key(vm)); err != nil {
		p.config.Log.Info().Err(err).Str("entry", vm).Msg("row of an entry that is gone could not be removed")
	}
}

// leaveTime bounds the removal of this entry's own row at its stop.
const leaveTime = 300 * time.Millisecond

func (p *Peers) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTime)
	defer cancel()
	p.remove(ctx, p.config.Self.VM)
}

func newSecret() []byte {
	secret := make([]byte, secretBytes)
	// crypto/rand.Read never fails on the systems that Go supports.
	_, _ = cryptorand.Read(secret)
	return secret
}
