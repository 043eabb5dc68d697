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
	begun []engine.Order
}

func (e *slowEngine) Order(ctx context.Context, order engine.Order) error {
	e.begun = append(e.begun, order)
	select {
	case <-time.After(time.Minute):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

var errDown = errors.New("table down")

// Each case is an agent that has just started, a row and the orders that reach it.
func TestOrdersAreObeyedOrRefused(t *testing.T) {
	load := func(version string, fence uint64) *link.Order {
		return &link.Order{Kind: "load-model", Model: "m", Version: version, Fence: fence, StartWithinMs: 15_000, CompleteWithinMs: 600_000}
	}
	short := load("2", 2)
	short.CompleteWithinMs = 1000
	cases := []struct {
		name   string
		row    uint64
		rowErr error
		after  time.Duration // from the stamp to the first order
		orders []*link.Order
		want   []error
		begun  int
	}{
		{name: "holder's", row: 2, orders: []*link.Order{load("2", 2)}, want: []error{nil}, begun: 1},
		{name: "former holder's, after the agent's restart", row: 2, orders: []*link.Order{load("2", 1)}, want: []error{lease.ErrStaleFence}},
		{name: "row can't be read", rowErr: errDown, orders: []*link.Order{load("2", 2)}, want: []error{lease.ErrNotRead}},
		{name: "former holder's, after the next one's", row: 1, orders: []*link.Order{load("2", 2), load("3", 1)}, want: []error{nil, lease.ErrStaleFence}, begun: 1},
		{name: "twice", row: 2, orders: []*link.Order{load("2", 2), load("2", 3)}, want: []error{nil, nil}, begun: 1},
		{name: "another under way", row: 2, orders: []*link.Order{load("2", 2), load("3", 3)}, want: []error{nil, ErrBusy}, begun: 1},
		{name: "held up on the way", row: 2, after: 16 * time.Second, orders: []*link.Order{load("2", 2)}, want: []error{ErrExpired}},
		{name: "no number", row: 0, orders: []*link.Order{load("2", 0)}, want: []error{lease.ErrStaleFence}},
		{name: "given up at its end of life", row: 2, orders: []*link.Order{short}, want: []error{nil}, begun: 1},
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
					require.ErrorIs(t, x.Take(t.Context(), clock, order), tc.want[i])
					synctest.Wait()
				}
				require.Len(t, e.begun, tc.begun)
				time.Sleep(2 * time.Minute)
				require.Equal(t, tc.orders[0] == short, x.Status(time.Now()).OrderError != "")
			})
		})
	}
}

func TestStatusIsOfTheVersionServedNow(t *testing.T) {
	x := New(Config{})
	now := time.Unix(6000, 0)
	require.False(t, x.Status(now).Reported)
	x.Reported(now, engine.Report{Model: "m", Version: "1"}, nil)
	for range 3 {
		x.Ended(now, &link.End{FirstTokenMs: 40})
	}
	x.Ended(now, &link.End{Code: result.UpstreamFailed})
	x.Ended(now, &link.End{Code: result.Cancelled})
	status := x.Status(now)
	require.Equal(t, 4, status.Requests)
	require.Equal(t, 0.25, status.ErrorRate)
	require.Equal(t, 40.0, status.FirstTokenMs)

	require.Equal(t, 4, x.Status(now.Add(bucketLength)).Requests)
	require.Zero(t, x.Status(now.Add(bucketCount*bucketLength)).Requests, "they are over")

	x.Reported(now, engine.Report{}, errDown)
	require.False(t, x.Status(now).EngineDown)
	require.True(t, x.Status(now.Add(2*engineSilence)).EngineDown)
	x.Reported(now.Add(time.Second), engine.Report{Model: "m", Version: "2"}, nil)
	require.Zero(t, x.Status(now.Add(time.Second)).Requests, "they were the other version's")
}
