package platform_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"acaciacleat.example/peers/httpjson"
	"acaciacleat.example/peers/objects"
	"acaciacleat.example/peers/vmlist"
	"acaciacleat.example/peers/weights"
	"acaciacleat.example/standin/faults"
	"acaciacleat.example/standin/platform"
)

const bytesPerSecond = 1000

var (
	artifact = weights.Artifact{Name: "assistant-1", Version: "v1", Bytes: 100 * bytesPerSecond}
	vm       = vmlist.VM{ID: "vm-1", Role: vmlist.RoleAgent, Zone: "cwb-a", Link: "127.0.0.1:9", Service: "parts", Draining: true}
)

// clients holds one implementation of each interface. table.Store is tested beside its package.
type clients struct {
	*platform.Platform
	objects objects.Store
	vms     vmlist.Lister
	weights weights.Store
}

// forEachTransport runs a test against the services in the process and over HTTP.
func forEachTransport(t *testing.T, test func(t *testing.T, p clients)) {
	t.Run("memory", func(t *testing.T) {
		p := platform.New(bytesPerSecond)
		test(t, clients{p, p.Objects, p.VMs, p.Weights})
	})
	t.Run("http", func(t *testing.T) {
		p := platform.New(bytesPerSecond)
		server := httptest.NewServer(p.Handler())
		t.Cleanup(server.Close)
		test(t, clients{
			Platform: p,
			objects:  objects.NewHTTP(server.URL+platform.PathObjects, httpjson.Options{}),
			vms:      vmlist.NewHTTP(server.URL+platform.PathVMs, httpjson.Options{}),
			weights:  weights.NewHTTP(server.URL+platform.PathWeights, httpjson.Options{}),
		})
	})
}

// Names with special characters and any data, empty data included, must arrive unchanged. A missing
// object gives ErrNotFound, and deleting it is no error.
func TestObjects(t *testing.T) {
	forEachTransport(t, func(t *testing.T, p clients) {
		for _, name := range []string{"plain", "a//b/../c?d=e&f", "número 1"} {
			_, err := p.objects.Get(t.Context(), name)
			require.ErrorIs(t, err, objects.ErrNotFound)
			for _, data := range [][]byte{{0, 255, '"'}, {}} {
				require.NoError(t, p.objects.Put(t.Context(), name, data))
				got, err := p.objects.Get(t.Context(), name)
				require.NoError(t, err)
				require.Equal(t, data, got)
			}
			require.NoError(t, p.objects.Delete(t.Context(), name))
			require.NoError(t, p.objects.Delete(t.Context(), name), "deleting a missing object is no error")
			_, err = p.objects.Get(t.Context(), name)
			require.ErrorIs(t, err, objects.ErrNotFound)
		}
	})
}

// A list must return the VMs that were set; with a lag, it must still return the list before the last
// change.
func TestVMs(t *testing.T) {
	forEachTransport(t, func(t *testing.T, p clients) {
		list := func() []vmlist.VM {
			vms, err := p.vms.List(t.Context())
			require.NoError(t, err)
			return vms
		}
		require.Empty(t, list())
		p.VMs.Set(vm)
		require.Equal(t, []vmlist.VM{vm}, list())
		p.VMs.SetLag(time.Hour)
		p.VMs.Set()
		require.Equal(t, []vmlist.VM{vm}, list(), "the list must lag")
	})
}

// Describe must return an artifact once it was added. While the queue of fetches is longer than
// MaxBacklog, it must return ErrRateLimited.
func TestWeights(t *testing.T) {
	forEachTransport(t, func(t *testing.T, p clients) {
		_, err := p.weights.Describe(t.Context(), artifact.Name, artifact.Version)
		require.ErrorIs(t, err, weights.ErrNotFound)
		p.Weights.Add(artifact)
		got, err := p.weights.Describe(t.Context(), artifact.Name, artifact.Version)
		require.NoError(t, err)
		require.Equal(t, artifact, got)
		rate, err := p.weights.RateBytesPerSecond(t.Context())
		require.NoError(t, err)
		require.EqualValues(t, bytesPerSecond, rate)

		_, err = p.Weights.Reserve(artifact.Name, artifact.Version)
		require.NoError(t, err)
		_, err = p.weights.Describe(t.Context(), artifact.Name, artifact.Version)
		require.ErrorIs(t, err, weights.ErrRateLimited)
	})
}

// Each call must fail with the error for its fault, or only take longer if the fault is Slow, and
// succeed without the fault. A failed Put must have stored the object only if the fault is AnswerLost.
func TestCallsUnderFaults(t *testing.T) {
	cases := []struct {
		fault         faults.Fault
		fails, stored bool
	}{
		{faults.Fault{Kind: faults.Die}, true, false},
		{faults.Fault{Kind: faults.Silent}, true, false},
		{faults.Fault{Kind: faults.AnswerLost}, true, true},
		{faults.Fault{Kind: faults.Outage}, true, false},
		{faults.Fault{Kind: faults.Slow, Delay: time.Millisecond}, false, true},
	}
	for _, c := range cases {
		t.Run(string(c.fault.Kind), func(t *testing.T) {
			forEachTransport(t, func(t *testing.T, p clients) {
				p.Weights.Add(artifact)
				calls := []struct {
					operation string
					want      error
					call      func(context.Context) error
				}{
					{platform.OpObjectsPut, objects.ErrUnavailable, func(ctx context.Context) error { return p.objects.Put(ctx, "a", []byte("1")) }},
					{platform.OpObjectsGet, objects.ErrUnavailable, func(ctx context.Context) error { _, err := p.objects.Get(ctx, "a"); return err }},
					{platform.OpObjectsDelete, objects.ErrUnavailable, func(ctx context.Context) error { return p.objects.Delete(ctx, "a") }},
					{platform.OpVMsList, vmlist.ErrUnavailable, func(ctx context.Context) error { _, err := p.vms.List(ctx); return err }},
					{platform.OpWeightsRate, weights.ErrUnavailable, func(ctx context.Context) error { _, err := p.weights.RateBytesPerSecond(ctx); return err }},
					{platform.OpWeightsDescribe, weights.ErrUnavailable, func(ctx context.Context) error {
						_, err := p.weights.Describe(ctx, artifact.Name, artifact.Version)
						return err
					}},
				}
				for _, call := range calls {
					ctx, cancel := context.WithCancel(t.Context())
					p.Faults.OnHit(func(hit faults.Fault) {
						if hit.Kind == faults.Silent {
							cancel()
						}
					})
					c.fault.Operation = call.operation
					p.Faults.Set(c.fault)
					err := call.call(ctx)
					require.Equal(t, c.fails, err != nil)
					if c.fails {
						require.ErrorIs(t, err, call.want)
					}
					p.Faults.Set()
					if call.operation == platform.OpObjectsPut {
						_, err = p.Objects.Get(t.Context(), "a")
						require.Equal(t, c.stored, err == nil)
					}
					require.NoError(t, call.call(t.Context()))
				}
			})
		})
	}
}

// With a lag, the list must show a change exactly when the lag has passed, as a platform does that
// publishes changes late.
func TestListShowsChangesAfterItsLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := platform.New(1)
		p.VMs.Set(vm)
		p.VMs.SetLag(time.Minute)
		p.VMs.Set()
		time.Sleep(time.Minute - 1)
		got, _ := p.VMs.List(t.Context())
		require.Len(t, got, 1)
		time.Sleep(time.Nanosecond)
		got, _ = p.VMs.List(t.Context())
		require.Empty(t, got)
	})
}

// Fetches share the store's rate: two run one after the other, and a third is refused until the
// backlog is within its limit.
func TestFetchesShareTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platform.New(bytesPerSecond).Weights
		store.Add(weights.Artifact{Name: "half", Bytes: 40 * bytesPerSecond})
		reserve := func(want time.Duration) {
			wait, err := store.Reserve("half", "")
			require.NoError(t, err)
			require.Equal(t, want, wait)
		}
		reserve(40 * time.Second)
		reserve(80 * time.Second)
		_, err := store.Reserve("half", "")
		require.ErrorIs(t, err, weights.ErrRateLimited)
		time.Sleep(20 * time.Second)
		reserve(100 * time.Second)
	})
}

// Faults set over HTTP must also apply to calls within the process, and an invalid list is rejected.
func TestPutFaults(t *testing.T) {
	p := platform.New(1)
	for body, want := range map[string]int{
		`[{"operation":"vms.list","kind":"outage"}]`: http.StatusNoContent,
		`{`: http.StatusBadRequest,
	} {
		answer := httptest.NewRecorder()
		p.Handler().ServeHTTP(answer, httptest.NewRequest(http.MethodPut, platform.PathFaults, strings.NewReader(body)))
		require.Equal(t, want, answer.Code)
	}
	_, err := p.VMs.List(t.Context())
	require.ErrorIs(t, err, vmlist.ErrUnavailable)
}
