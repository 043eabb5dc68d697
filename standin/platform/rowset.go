package platform

import (
	"bytes"
	"slices"
	"time"

	"acaciacleat.example/peers/table"
)

// rowSet holds the rows of one table and the earlier states that the lagging replica still shows.
type rowSet struct {
	// names are the keys of history in ascending order.
	names   []string
	history map[string][]change
}

type change struct {
	at      time.Time
	row     table.Row
	deleted bool
}

// read returns the row as it was at asOf.
func (s *rowSet) read(name string, asOf time.Time) (table.Row, bool) {
	changes := s.history[name]
	for i := len(changes) - 1; i >= 0; i-- {
		if changes[i].at.After(asOf) {
			continue
		}
		if changes[i].deleted {
			return table.Row{}, false
		}
		row := changes[i].row
		row.Value = bytes.Clone(row.Value)
		return row, true
	}
	return table.Row{}, false
}

// write adds a change and drops the changes that no read at or after replicaTime, the time whose
// state the replica shows, can see.
func (s *rowSet) write(c change, replicaTime time.Time) {
	name := c.row.Key.Row
	changes, known := s.history[name]
	changes = append(changes, c)
	for len(changes) > 1 && !changes[1].at.After(replicaTime) {
		changes = changes[1:]
	}
	if len(changes) == 1 && c.deleted && !c.at.After(replicaTime) {
		s.remove(name)
		return
	}
	if !known {
		at, _ := slices.BinarySearch(s.names, name)
		s.names = slices.Insert(s.names, at, name)
	}
	s.history[name] = changes
}

func (s *rowSet) remove(name string) {
	delete(s.history, name)
	if at, ok := slices.BinarySearch(s.names, name); ok {
		s.names = slices.Delete(s.names, at, at+1)
	}
}
