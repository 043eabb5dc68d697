package orders

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"acaciacleat.example/core/lease"
	"acaciacleat.example/core/result"
	"acaciacleat.example/peers/engine"
	"acaciacleat.example/peers/link"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// slowEngine takes a minute for each order.
type slowEngine struct {
	engine.Engine
	started []engine.Order
}

func (e *slowEngine) Order(ctx context.Context, order engine.Order) error {
	e.started = append(e.started, order)
	select {
	case <-time.After(time.Minute):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

var errTableDown = errors.New("table down")

// Guards against executing a delayed order or one of a former lease holder, and against refusing
// or repeating one of the holder. Each case has an agent that has just started, the fencing number
// in the lease's row and the orders that reach the agent.
func TestOrdersAreExecutedOrRefused(t *testing.T) {
	load := func(version string, fence uint64) *link.Order {
		return &link.Order{Kind: "load-model", Model: "m", Version: version, Fence: fence, StartWithinMs: 15_000, CompleteWithinMs: 600_000}
	}
	short := load("2", 2)
	short.CompleteWithinMs = 1000
	cases := []struct {
		name    string
		row     uint64
		rowErr  error
		after   time.Duration // from the stamp to the first order
		orders  []*link.Order
		want    []error
		started int
	}{
		{name: "order of the holder", row: 2, orders: []*link.Order{load("2", 2)}, want: []error{nil}, started: 1},
		{name: "order of a former holder, after the agent's restart", row: 2, orders: []*link.Order{load("2", 1)}, want: []error{lease.ErrStaleFence}},
		{name: "row cannot be read", rowErr: errTableDown, orders: []*link.Order{load("2", 2)}, want: []error{lease.ErrNotRead}},
		{name: "order of a former holder, after one of the new holder", row: 1, orders: []*link.Order{load("2", 2), load("3", 1)}, want: []error{nil, lease.ErrStaleFence}, started: 1},
		{name: "twice", row: 2, orders: []*link.Order{load("2", 2), load("2", 3)}, want: []error{nil, nil}, started: 1},
		{name: "another order running", row: 2, orders: []*link.Order{load("2", 2), load("3", 3)}, want: []error{nil, ErrBusy}, started: 1},
		{name: "order delayed in transit", row: 2, after: 16 * time.Second, orders: []*link.Order{load("2", 2)}, want: []error{ErrExpired}},
		{name: "no fencing number", row: 0, orders: []*link.Order{load("2", 0)}, want: []error{lease.ErrStaleFence}},
		{name: "cancelled at its timeout", row: 2, orders: []*link.Order{short}, want: []error{nil}, started: 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &slowEngine{}
				x := New(Config{Engine: e, ReadFence: func(context.Context) (uint64, error) { return tc.row, tc.rowErr }, Log: zerolog.Nop()})
				start := time.Now()
				clock := func() int64 { return int64(time.Since(start)) }
				time.Sleep(tc.after)
				for i, order := range tc.orders {
					require.ErrorIs(t, x.Accept(t.Context(), clock, order), tc.want[i])
					synctest.Wait()
				}
				require.Len(t, e.started, tc.started)
				time.Sleep(2 * time.Minute)
				require.Equal(t, tc.orders[0] == short, x.Status(time.Now()).OrderError != "")
			})
		})
	}
}

// Guards against judging a version by calls that another version served, or by calls from long ago.
func TestStatusCountsOnlyTheServedVersion(t *testing.T) {
	x := New(Config{})
	now := time.Unix(6000, 0)
	require.False(t, x.Status(now).Reported)
	x.RecordReport(now, engine.Report{Model: "m", Version: "1"}, nil)
	for range 3 {
		x.RecordEnd(now, &link.End{FirstTokenMs: 40})
	}
	x.RecordEnd(now, &link.End{Code: result.UpstreamFailed})
	x.RecordEnd(now, &link.End{Code: result.Cancelled})
	status := x.Status(now)
	require.Equal(t, 4, status.Requests)
	require.Equal(t, 0.25, status.ErrorRate)
	require.Equal(t, 40.0, status.FirstTokenMs)

	require.Equal(t, 4, x.Status(now.Add(bucketLength)).Requests)
	require.Zero(t, x.Status(now.Add(bucketCount*bucketLength)).Requests, "the bucket is too old")

	x.RecordReport(now, engine.Report{}, errTableDown)
	require.False(t, x.Status(now).EngineDown)
	require.True(t, x.Status(now.Add(2*engineDownTimeout)).EngineDown)
	x.RecordReport(now.Add(time.Second), engine.Report{Model: "m", Version: "2"}, nil)
	require.Zero(t, x.Status(now.Add(time.Second)).Requests, "the calls ran on the other version")
}
