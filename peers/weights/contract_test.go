package weights_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"acaciacleat.example/peers/httpjson"
	"acaciacleat.example/peers/weights"
	"acaciacleat.example/standin/faults"
	"acaciacleat.example/standin/platform"
)

const bytesPerSecond = 1000

var artifact = weights.Artifact{Name: "assistant-1", Version: "v1", Bytes: 100 * bytesPerSecond}

func eachStore(t *testing.T, test func(t *testing.T, store weights.Store, p *platform.Platform)) {
	t.Run("memory", func(t *testing.T) {
		p := platform.New(bytesPerSecond)
		test(t, p.Weights, p)
	})
	t.Run("http", func(t *testing.T) {
		p := platform.New(bytesPerSecond)
		server := httptest.NewServer(p.Handler())
		t.Cleanup(server.Close)
		test(t, weights.NewHTTP(server.URL+platform.PathWeights, httpjson.Options{}), p)
	})
}

func TestDescribe(t *testing.T) {
	eachStore(t, func(t *testing.T, store weights.Store, p *platform.Platform) {
		ctx := t.Context()
		_, err := store.Describe(ctx, artifact.Name, artifact.Version)
		require.ErrorIs(t, err, weights.ErrNotFound)
		p.Weights.Add(artifact)
		got, err := store.Describe(ctx, artifact.Name, artifact.Version)
		require.NoError(t, err)
		require.Equal(t, artifact, got)
		rate, err := store.RateBytesPerSecond(ctx)
		require.NoError(t, err)
		require.EqualValues(t, bytesPerSecond, rate)

		_, err = p.Weights.Reserve(artifact.Name, artifact.Version)
		require.NoError(t, err)
		_, err = store.Describe(ctx, artifact.Name, artifact.Version)
		require.ErrorIs(t, err, weights.ErrRateLimited)
	})
}

// Symptom: loads are refused for a while. Sequence: two fetches are booked together;
// a third is refused until the backlog is down to its bound. Cause: the fetches share
// the store's rate.
func TestFetchesShareTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platform.New(bytesPerSecond).Weights
		half := weights.Artifact{Name: "half", Bytes: 40 * bytesPerSecond}
		store.Add(half)
		for _, want := range []time.Duration{40 * time.Second, 80 * time.Second} {
			wait, err := store.Reserve("half", "")
			require.NoError(t, err)
			require.Equal(t, want, wait)
		}
		_, err := store.Reserve("half", "")
		require.ErrorIs(t, err, weights.ErrRateLimited)
		time.Sleep(20 * time.Second)
		wait, err := store.Reserve("half", "")
		require.NoError(t, err)
		require.Equal(t, 100*time.Second, wait)
	})
}

// Symptom: the store cannot be asked. Sequence: one fault during the call, then none.
// Cause: each fault below.
func TestReadsUnderFaults(t *testing.T) {
	for _, kind := range []faults.Kind{faults.Die, faults.Silent, faults.AnswerLost, faults.Outage} {
		t.Run(string(kind), func(t *testing.T) {
			eachStore(t, func(t *testing.T, store weights.Store, p *platform.Platform) {
				ctx, cancel := context.WithCancel(t.Context())
				p.Faults.OnHit(func(hit faults.Fault) {
					if hit.Kind == faults.Silent {
						cancel()
					}
				})
				p.Faults.Set(faults.Fault{Operation: "*", Kind: kind})
				_, err := store.RateBytesPerSecond(ctx)
				require.ErrorIs(t, err, weights.ErrUnavailable)
				_, err = store.Describe(ctx, artifact.Name, artifact.Version)
				require.ErrorIs(t, err, weights.ErrUnavailable)
				p.Faults.Set()
				_, err = store.RateBytesPerSecond(t.Context())
				require.NoError(t, err)
			})
		})
	}
}
