package objects_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"acaciacleat.example/peers/httpjson"
	"acaciacleat.example/peers/objects"
	"acaciacleat.example/standin/faults"
	"acaciacleat.example/standin/platform"
)

func eachStore(t *testing.T, test func(t *testing.T, store objects.Store, f *faults.Table)) {
	t.Run("memory", func(t *testing.T) {
		p := platform.New(1)
		test(t, p.Objects, p.Faults)
	})
	t.Run("http", func(t *testing.T) {
		p := platform.New(1)
		server := httptest.NewServer(p.Handler())
		t.Cleanup(server.Close)
		test(t, objects.NewHTTP(server.URL+platform.PathObjects, httpjson.Options{}), p.Faults)
	})
}

func TestWholeObjects(t *testing.T) {
	eachStore(t, func(t *testing.T, store objects.Store, _ *faults.Table) {
		ctx := t.Context()
		for _, name := range []string{"plain", "a//b/../c?d=e&f", "número 1"} {
			_, err := store.Get(ctx, name)
			require.ErrorIs(t, err, objects.ErrNotFound)
			for _, data := range [][]byte{{0, 255, '"'}, {}} {
				require.NoError(t, store.Put(ctx, name, data))
				got, err := store.Get(ctx, name)
				require.NoError(t, err)
				require.Equal(t, data, got)
			}
			require.NoError(t, store.Delete(ctx, name))
			require.NoError(t, store.Delete(ctx, name), "deleting twice is no failure")
			_, err = store.Get(ctx, name)
			require.ErrorIs(t, err, objects.ErrNotFound)
		}
	})
}

// Symptom: a put fails and the object may be there or not. Sequence: one fault hits the
// put; the writer repeats it. Cause: each fault below. The repeat always succeeds.
func TestPutUnderFaults(t *testing.T) {
	cases := []struct {
		fault   faults.Fault
		want    error
		applied bool
	}{
		{faults.Fault{Kind: faults.Die}, objects.ErrUnavailable, false},
		{faults.Fault{Kind: faults.Silent}, objects.ErrUnavailable, false},
		{faults.Fault{Kind: faults.AnswerLost}, objects.ErrUnavailable, true},
		{faults.Fault{Kind: faults.Outage}, objects.ErrUnavailable, false},
		{faults.Fault{Kind: faults.Slow, Delay: time.Millisecond}, nil, true},
	}
	for _, c := range cases {
		t.Run(string(c.fault.Kind), func(t *testing.T) {
			eachStore(t, func(t *testing.T, store objects.Store, f *faults.Table) {
				ctx, cancel := context.WithCancel(t.Context())
				f.OnHit(func(hit faults.Fault) {
					if hit.Kind == faults.Silent {
						cancel()
					}
				})
				c.fault.Operation, c.fault.Count = platform.OpObjectsPut, 1
				f.Set(c.fault)
				require.ErrorIs(t, store.Put(ctx, "a", []byte("1")), c.want)
				_, err := store.Get(t.Context(), "a")
				require.Equal(t, c.applied, err == nil)
				require.NoError(t, store.Put(t.Context(), "a", []byte("1")))
			})
		})
	}
}
