package quarantine

import (
	"context"
	"crypto/rand"

	"acaciacleat.example/peers/table"
)

// TableStore implements Store on the table service of the product's own deployments.
type TableStore struct{ Table table.Store }

var _ Store = TableStore{}

// pageRows is the number of rows that one scan reads.
const pageRows = 500

// All implements Store. How far the rows reach is not known.
func (s TableStore) All(ctx context.Context, name string) ([]table.Row, table.Extent, error) {
	var all []table.Row
	after := ""
	for {
		rows, err := s.Table.Scan(ctx, name, "", after, pageRows, table.Stale)
		if err != nil {
			return nil, table.Extent{}, err
		}
		all = append(all, rows...)
		if len(rows) < pageRows {
			return all, table.Extent{}, nil
		}
		after = rows[len(rows)-1].Key.Row
	}
}

// Put implements Store.
func (s TableStore) Put(ctx context.Context, key table.Key, value []byte) error {
	return s.commit(ctx, table.Write{Key: key, Value: value})
}

// Remove implements Store.
func (s TableStore) Remove(ctx context.Context, key table.Key) error {
	return s.commit(ctx, table.Write{Key: key, Delete: true})
}

func (s TableStore) commit(ctx context.Context, write table.Write) error {
	_, err := s.Table.Commit(ctx, table.Tx{Token: rand.Text(), Writes: []table.Write{write}})
	return err
}
