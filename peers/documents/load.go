package documents

import (
	"context"
	"strings"

	"acaciacleat.example/core/document"
	"acaciacleat.example/peers/table"
	"github.com/pkg/errors"
)

// scanPageRows is the number of rows per read; 500 organisations are about 150 KB.
const scanPageRows = 500

// maxLoadAttempts bounds the attempts of a load that fails because the documents changed meanwhile: the
// change log was compacted (ErrCompacted), or a change belongs to a service whose header the load did
// not read (document.ErrUnknownService).
const maxLoadAttempts = 3

// head returns the newest revision and the version of the row that holds it.
func (s *Store) head(ctx context.Context) (document.Revision, uint64, error) {
	row, err := s.get(ctx, headRowName)
	if errors.Is(err, table.ErrNotFound) {
		return 0, 0, nil
	}
	if err != nil {
		return 0, 0, err
	}
	var head headRow
	err = decode(row, &head)
	return head.Revision, row.Version, err
}

// Head returns the newest revision at the cost of one read.
func (s *Store) Head(ctx context.Context) (document.Revision, error) {
	revision, _, err := s.head(ctx)
	return revision, err
}

// Changes returns the changes after the given revision, oldest first. It costs one read if there are
// none. It returns ErrCompacted if the log does not contain all of them, and ErrReverted if the
// table's revision is lower.
func (s *Store) Changes(ctx context.Context, after document.Revision) ([]Change, error) {
	newest, err := s.Head(ctx)
	if err != nil {
		return nil, err
	}
	return s.changesUpTo(ctx, after, newest)
}

func (s *Store) changesUpTo(ctx context.Context, after, newest document.Revision) ([]Change, error) {
	if newest < after {
		return nil, errors.Wrapf(ErrReverted, "table has %d, known is %d", newest, after)
	}
	var changes []Change
	for next := after; next < newest; {
		rows, err := s.scan(ctx, changePrefix, changeRowName(next), scanPageRows)
		if err != nil {
			return nil, err
		}
		if len(rows) == 0 {
			return nil, errors.Wrapf(ErrCompacted, "no row for revision %d", next+1)
		}
		for _, row := range rows {
			var change Change
			if err := decode(row, &change); err != nil {
				return nil, err
			}
			if change.Revision != next+1 || change.Update == nil {
				return nil, errors.Wrapf(ErrCompacted, "revision %d after %d", change.Revision, next)
			}
			changes = append(changes, change)
			if next = change.Revision; next == newest {
				break
			}
		}
	}
	return changes, nil
}

// Advance returns the newest state. It applies the change log if that covers all changes since the
// given state, and loads the whole state otherwise.
func (s *Store) Advance(ctx context.Context, from *State) (*State, error) {
	state, _, err := s.advanceFrom(ctx, from)
	return state, err
}

// advanceFrom is like Advance and also returns the version of the head row at that state.
func (s *Store) advanceFrom(ctx context.Context, from *State) (*State, uint64, error) {
	for range maxLoadAttempts {
		revision, version, err := s.head(ctx)
		if err != nil {
			return nil, 0, err
		}
		changes, err := s.changesUpTo(ctx, from.Revision(), revision)
		if err == nil {
			from, err = from.Apply(changes)
			return from, version, err
		}
		if !errors.Is(err, ErrCompacted) {
			return nil, 0, err
		}
		loaded, err := s.Load(ctx)
		if err != nil {
			return nil, 0, err
		}
		from = loaded
	}
	return nil, 0, ErrBusy
}

// Load reads the whole state. Changes may be written while it reads the pages, so the rows may belong
// to different revisions. It therefore reads the head before the first page and afterwards applies all
// changes since then. Changes contain complete values, so it is safe to apply a change that a page
// already included.
func (s *Store) Load(ctx context.Context) (*State, error) {
	for range maxLoadAttempts {
		state, err := s.loadOnce(ctx)
		if !errors.Is(err, ErrCompacted) && !errors.Is(err, document.ErrUnknownService) {
			return state, err
		}
	}
	return nil, ErrBusy
}

func (s *Store) loadOnce(ctx context.Context) (*State, error) {
	before, err := s.Head(ctx)
	if err != nil {
		return nil, err
	}
	headers, changed, err := s.loadHeaders(ctx)
	if err != nil {
		return nil, err
	}
	organisations, err := s.loadOrganisations(ctx)
	if err != nil {
		return nil, err
	}
	services := make([]*document.Service, 0, len(headers))
	for name, header := range headers {
		services = append(services, document.Assemble(header, organisations[name]))
	}
	state := &State{Snapshot: document.Compile(before, services), changed: changed}
	changes, err := s.Changes(ctx, before)
	if err != nil {
		return nil, err
	}
	return state.Apply(changes)
}

func (s *Store) loadHeaders(ctx context.Context) (map[string]*document.Service, map[string]document.Revision, error) {
	headers := make(map[string]*document.Service)
	changed := make(map[string]document.Revision)
	err := s.eachRow(ctx, servicePrefix, func(row table.Row) error {
		var stored serviceRow
		if err := decode(row, &stored); err != nil {
			return err
		}
		if stored.Header == nil {
			return errors.Errorf("documents: row %s has no header", row.Key.Row)
		}
		name := strings.TrimPrefix(row.Key.Row, servicePrefix)
		headers[name] = stored.Header
		changed[name] = stored.Revision
		return nil
	})
	return headers, changed, err
}

func (s *Store) loadOrganisations(ctx context.Context) (map[string][]document.Organisation, error) {
	organisations := make(map[string][]document.Organisation)
	err := s.eachRow(ctx, organisationPrefix, func(row table.Row) error {
		var organisation document.Organisation
		if err := decode(row, &organisation); err != nil {
			return err
		}
		service := serviceOfOrganisation(row.Key.Row)
		organisations[service] = append(organisations[service], organisation)
		return nil
	})
	return organisations, err
}

func (s *Store) eachRow(ctx context.Context, prefix string, yield func(table.Row) error) error {
	after := ""
	for {
		rows, err := s.scan(ctx, prefix, after, scanPageRows)
		if err != nil {
			return err
		}
		for _, row := range rows {
			if err := yield(row); err != nil {
				return err
			}
			after = row.Key.Row
		}
		if len(rows) == 0 {
			return nil
		}
	}
}

// History returns the newest changes of a service that are still in the log, newest first and at most
// limit. It reads the whole log and is intended for operators.
func (s *Store) History(ctx context.Context, service string, limit int) ([]Change, error) {
	var history []Change
	err := s.eachRow(ctx, changePrefix, func(row table.Row) error {
		var change Change
		if err := decode(row, &change); err != nil {
			return err
		}
		if change.Service == service {
			history = append([]Change{change}, history...)
		}
		return nil
	})
	return history[:min(limit, len(history))], err
}
