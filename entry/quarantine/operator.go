package quarantine

import (
	"context"
	"encoding/json"
	"time"

	"acaciacleat.example/core/fingerprint"
	"acaciacleat.example/peers/table"
	"github.com/pkg/errors"
)

// operatorWriter is the writer's name in rows that release requests.
const operatorWriter = "operator"

// List returns the rows of the quarantine that can be decoded, and the errors of the others.
func List(ctx context.Context, store Store, name string) (rows []Row, faults []error, err error) {
	stored, _, err := store.All(ctx, name)
	if err != nil {
		return nil, nil, err
	}
	for _, s := range stored {
		if row, err := Decode(s); err != nil {
			faults = append(faults, err)
		} else {
			rows = append(rows, row)
		}
	}
	return rows, faults, nil
}

// ErrNotListed means that the quarantine has no row for the request.
var ErrNotListed = errors.New("nothing is held against this request")

// Release ends the hold and the suspicion of a request at all entries. It writes a row that the
// entries apply when they next read the table and that voids older rows.
func Release(ctx context.Context, store Store, name string, print fingerprint.Print) error {
	rows, _, err := List(ctx, store, name)
	if err != nil {
		return err
	}
	listed := false
	for _, r := range rows {
		listed = listed || r.Print == print
	}
	if !listed {
		return errors.Wrapf(ErrNotListed, "request %s", print)
	}
	now := time.Now().UnixMilli()
	value, err := json.Marshal(Record{ReleasedMs: now, WrittenMs: now})
	if err != nil {
		return errors.Wrap(err, "encode a release")
	}
	return store.Put(ctx, table.Key{Table: name, Row: rowName(print, operatorWriter)}, value)
}
