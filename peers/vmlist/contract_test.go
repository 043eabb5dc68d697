package vmlist_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"acaciacleat.example/peers/httpjson"
	"acaciacleat.example/peers/vmlist"
	"acaciacleat.example/standin/faults"
	"acaciacleat.example/standin/platform"
)

var vm = vmlist.VM{ID: "vm-1", Role: vmlist.RoleAgent, Zone: "cwb-a", Link: "127.0.0.1:9", Service: "parts", Leaving: true}

func eachLister(t *testing.T, test func(t *testing.T, list vmlist.Lister, p *platform.Platform)) {
	t.Run("memory", func(t *testing.T) {
		p := platform.New(1)
		test(t, p.VMs, p)
	})
	t.Run("http", func(t *testing.T) {
		p := platform.New(1)
		server := httptest.NewServer(p.Handler())
		t.Cleanup(server.Close)
		test(t, vmlist.NewHTTP(server.URL+platform.PathVMs, httpjson.Options{}), p)
	})
}

func TestListShowsVMs(t *testing.T) {
	eachLister(t, func(t *testing.T, list vmlist.Lister, p *platform.Platform) {
		got, err := list.List(t.Context())
		require.NoError(t, err)
		require.Empty(t, got)
		p.VMs.Set(vm)
		got, err = list.List(t.Context())
		require.NoError(t, err)
		require.Equal(t, []vmlist.VM{vm}, got)
		p.VMs.SetLag(time.Hour)
		p.VMs.Set()
		got, err = list.List(t.Context())
		require.NoError(t, err)
		require.Equal(t, []vmlist.VM{vm}, got, "the list must lag")
	})
}

// Symptom: a VM that has gone is still listed. Sequence: the VM goes; the list is read
// just before and just after its lag has passed. Cause: the platform publishes late.
func TestLagEnds(t *testing.T) {
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

// Symptom: the list cannot be read. Sequence: one fault during the call, then none.
// Cause: each fault below.
func TestListUnderFaults(t *testing.T) {
	for _, kind := range []faults.Kind{faults.Die, faults.Silent, faults.AnswerLost, faults.Outage} {
		t.Run(string(kind), func(t *testing.T) {
			eachLister(t, func(t *testing.T, list vmlist.Lister, p *platform.Platform) {
				ctx, cancel := context.WithCancel(t.Context())
				p.Faults.OnHit(func(hit faults.Fault) {
					if hit.Kind == faults.Silent {
						cancel()
					}
				})
				p.Faults.Set(faults.Fault{Operation: platform.OpVMsList, Kind: kind})
				_, err := list.List(ctx)
				require.ErrorIs(t, err, vmlist.ErrUnavailable)
				p.Faults.Set()
				_, err = list.List(t.Context())
				require.NoError(t, err)
			})
		})
	}
}
