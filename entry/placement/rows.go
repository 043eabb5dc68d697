package placement

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"acaciacleat.example/core/document"
	"acaciacleat.example/core/placement"
	"acaciacleat.example/peers/table"
	"github.com/pkg/errors"
)

const (
	// slotTable holds a row for each slot of the weight store. All services share the slots.
	slotTable = "weight-slots"
	// rejectedTable holds a row for each service with the canaries that were rolled back.
	rejectedTable = "rejected-canaries"
	// maxSlots bounds the slots, and with them the concurrent fetches, to about a tenth of
	// 1,200 engines. One scan reads them all.
	maxSlots = 128
	// tableTimeout bounds one read or write.
	tableTimeout = 2 * time.Second
)

// slotRow is the value of a slot's row.
type slotRow struct {
	Service string           `json:"service,omitempty"`
	Order   *placement.Order `json:"order,omitempty"`
	// Fence is the fencing number of the writer. It is only informative.
	Fence uint64 `json:"fence"`
}

// rows reads and writes the rows of one service's placement. All writes are conditional, so
// that only one of two processes that act as holder takes a slot.
type rows struct {
	store   table.Store
	service string
	// writer is a unique ID, which makes the tokens of these writes unique.
	writer string
	writes atomic.Uint64
}

func slotKey(index int) table.Key {
	return table.Key{Table: slotTable, Row: fmt.Sprintf("%04d", index)}
}

// slots returns the first count slots, and any further slots that still hold an order because
// they were taken when the weight store's rate was higher.
func (r *rows) slots(ctx context.Context, count int) ([]placement.Slot, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	stored, err := r.store.Scan(ctx, slotTable, "", "", maxSlots, table.Latest)
	if err != nil {
		return nil, err
	}
	slots := make([]placement.Slot, count)
	for i := range slots {
		slots[i].Index = i
	}
	for _, row := range stored {
		slot, err := parseSlot(row)
		switch {
		case err != nil:
			return nil, err
		case slot.Index < count:
			slots[slot.Index] = slot
		case slot.Order != nil:
			slots = append(slots, slot)
		}
	}
	return slots, nil
}

func parseSlot(row table.Row) (placement.Slot, error) {
	index, err := strconv.Atoi(row.Key.Row)
	if err != nil || index < 0 {
		return placement.Slot{}, errors.Errorf("placement: invalid index of slot row %q", row.Key.Row)
	}
	var value slotRow
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return placement.Slot{}, errors.Wrapf(err, "placement: decode slot row %q", row.Key.Row)
	}
	return placement.Slot{Index: index, Version: row.Version, Service: value.Service, Order: value.Order}, nil
}

// setSlot writes a slot's row if it still has the given version, and returns the new version.
// A nil order clears the row.
func (r *rows) setSlot(ctx context.Context, index int, version uint64, order *placement.Order, fence uint64) (uint64, error) {
	value := slotRow{Order: order, Fence: fence}
	if order != nil {
		value.Service = r.service
	}
	return r.write(ctx, slotKey(index), version, value)
}

func (r *rows) write(ctx context.Context, key table.Key, version uint64, value any) (uint64, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	versions, err := r.store.Commit(ctx, table.Tx{
		Token:      fmt.Sprintf("placement/%s/%s/%d", r.service, r.writer, r.writes.Add(1)),
		Conditions: []table.Condition{{Key: key, Version: version}},
		Writes:     []table.Write{{Key: key, Value: data}},
	})
	if err != nil {
		return 0, err
	}
	return versions[0], nil
}

// rejections are the canaries of a service that were rolled back.
type rejections struct {
	version  uint64
	canaries []rejection
}

type rejection struct {
	Model   string           `json:"model"`
	Version string           `json:"version"`
	Reason  placement.Reason `json:"reason"`
}

func (r *rows) rejectedKey() table.Key { return table.Key{Table: rejectedTable, Row: r.service} }

// rejected returns the canaries that were rolled back.
func (r *rows) rejected(ctx context.Context) (rejections, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	row, err := r.store.Get(ctx, r.rejectedKey(), table.Latest)
	if errors.Is(err, table.ErrNotFound) {
		return rejections{}, nil
	}
	if err != nil {
		return rejections{}, err
	}
	stored := rejections{version: row.Version}
	if err := json.Unmarshal(row.Value, &stored.canaries); err != nil {
		return rejections{}, errors.Wrapf(err, "placement: decode the rejected canaries of %s", r.service)
	}
	return stored, nil
}

// stillNamed returns the rejections whose canary the document still names. An operator retries
// a rejected canary by removing it from the document and naming it again later.
func (s rejections) stillNamed(service *document.Service) []rejection {
	return slices.DeleteFunc(slices.Clone(s.canaries), func(c rejection) bool {
		return !slices.ContainsFunc(service.Models, func(m document.Model) bool {
			return m.Name == c.Model && m.Canary == c.Version
		})
	})
}

func (r *rows) setRejected(ctx context.Context, version uint64, canaries []rejection) (uint64, error) {
	return r.write(ctx, r.rejectedKey(), version, canaries)
}
