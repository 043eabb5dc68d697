package capacity

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/membership"
	"acaciacleat.example/core/routing"
	"acaciacleat.example/core/spread"
	"acaciacleat.example/entry/fleet"
	"acaciacleat.example/entry/process"
	"acaciacleat.example/peers/httpjson"
	"acaciacleat.example/peers/vmlist"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// serviceCount returns the number of services of a fleet of agents, in the proportion of the target
// deployment: one service per model.
func serviceCount(agents int) int { return max(1, agents*targetModels/targetAgents) }

// makeVMs returns a list of VMs with the given number of agents, and entries in the
// proportion of the target deployment.
func makeVMs(agents int) []vmlist.VM {
	vms := make([]vmlist.VM, 0, 2*agents)
	for i := range agents {
		vms = append(vms, vmlist.VM{
			ID: fmt.Sprintf("engine-%04d", i), Role: vmlist.RoleAgent, Zone: fmt.Sprintf("zone-%d", i%targetZones),
			Link: fmt.Sprintf("10.20.%d.%d:7070", i/250, i%250), Service: fmt.Sprintf("assistant-%02d", i%serviceCount(agents)),
		})
	}
	for i := range agents * targetEntries / targetAgents {
		vms = append(vms, vmlist.VM{
			ID: fmt.Sprintf("entry-%04d", i), Role: vmlist.RoleEntry, Zone: fmt.Sprintf("zone-%d", i%targetZones),
			Link: fmt.Sprintf("10.30.%d.%d:7070", i/250, i%250),
		})
	}
	return vms
}

// filledView returns a view that has a load report of every agent.
func filledView(vms []vmlist.VM) *fleet.View {
	view := fleet.New("entry-0000", process.Policies("combined", 1), zerolog.Nop())
	view.SetVMs(vms)
	for _, vm := range vms {
		if vm.Role != vmlist.RoleAgent {
			continue
		}
		report := busyReport()
		report.Agent, report.Model = vm.ID, vm.Service
		view.RecordLoad(&report)
	}
	return view
}

// BenchmarkCapacityView reports the memory of an entry's view of the fleet, including its routing
// state, and the time to apply a newly read VM list.
func BenchmarkCapacityView(b *testing.B) {
	for _, agents := range []int{100, 400, 1200} {
		b.Run(fmt.Sprintf("replicas=%d", agents), func(b *testing.B) {
			vms := makeVMs(agents)
			before := heapBytes()
			view := filledView(vms)
			heapGrowth := heapBytes() - before
			b.ReportAllocs()
			for b.Loop() {
				view.SetVMs(vms)
			}
			b.ReportMetric(heapGrowth, "heap-B")
			runtime.KeepAlive(view)
		})
	}
}

// BenchmarkCapacityRoutingState reports the memory of the routing policy of one service, and the
// time of a routing decision.
func BenchmarkCapacityRoutingState(b *testing.B) {
	for _, replicas := range []int{11, 44, 176} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			all := makeReplicas(replicas)
			request := &routing.Request{Service: serviceName, Model: modelName, Demand: call.TokenDemand{PromptTokens: 8_000, MaxTokens: 1_024}, Zone: "zone-0", Prefix: sampleOffer(16).Prefix}
			before := heapBytes()
			policy := process.Policies("combined", 1)(serviceName)
			now := time.Unix(1_000, 0)
			policy.Choose(request, all, now)
			heapGrowth := heapBytes() - before
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				policy.Choose(request, all, now)
			}
			b.ReportMetric(heapGrowth, "heap-B")
		})
	}
}

func makeReplicas(n int) []routing.Replica {
	all := make([]routing.Replica, n)
	for i := range all {
		all[i] = routing.Replica{
			Agent: fmt.Sprintf("engine-%04d", i), Zone: fmt.Sprintf("zone-%d", i%targetZones), Service: serviceName,
			Model: modelName, Incarnation: call.Incarnation(i + 1), Load: busyLoad(), LoadTakenAt: time.Unix(1_000, 0),
		}
	}
	return all
}

// newMembership returns a membership view that has applied the VM list.
func newMembership(now time.Time, vms []vmlist.VM) *membership.View {
	view := membership.New(membership.DefaultConfig())
	list := make([]membership.VM, 0, len(vms))
	for _, vm := range vms {
		list = append(list, membership.VM{ID: membership.ID(vm.ID), Zone: vm.Zone, Link: vm.Link, Service: vm.Service})
	}
	view.HandleList(now, list)
	return view
}

// BenchmarkCapacityMembershipTick reports the time of one tick; there are ten ticks per second.
func BenchmarkCapacityMembershipTick(b *testing.B) {
	for _, agents := range []int{100, 400, 1200} {
		b.Run(fmt.Sprintf("replicas=%d", agents), func(b *testing.B) {
			now := time.Unix(1_000, 0)
			view := newMembership(now, makeVMs(agents))
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(tickInterval)
				view.Tick(now)
			}
		})
	}
}

// tickInterval is the interval between the ticks of the state machines.
const tickInterval = 100 * time.Millisecond

// BenchmarkCapacityProbes reports the probes that one entry sends when VMs fail and the VM list
// continues to contain them, in the first two seconds and in steady state.
func BenchmarkCapacityProbes(b *testing.B) {
	for _, failed := range []int{8, 80, 387} {
		b.Run(fmt.Sprintf("failed=%d", failed), func(b *testing.B) {
			vms := makeVMs(targetAgents)
			first, later := 0, 0
			for b.Loop() {
				first, later = countProbes(vms, failed)
			}
			b.ReportMetric(float64(first)/2, "first-probes/s")
			b.ReportMetric(float64(later)/60, "later-probes/s")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// countProbes simulates 90 s and counts the probes of the first 2 s and of the last 60 s.
func countProbes(vms []vmlist.VM, failed int) (first, later int) {
	now := time.Unix(1_000, 0)
	view := newMembership(now, vms)
	for _, vm := range vms[:failed] {
		view.HandleTimeout(now, membership.ID(vm.ID), now)
	}
	for i := range 900 {
		now = now.Add(tickInterval)
		for _, action := range view.Tick(now) {
			probe, ok := action.(membership.Probe)
			if !ok {
				continue
			}
			view.HandleTimeout(now, probe.VM.ID, now)
			switch {
			case i < 20:
				first++
			case i >= 300:
				later++
			}
		}
	}
	return first, later
}

// BenchmarkCapacityVMList reports the size of the VM list and the CPU time of one read of it over
// HTTP, including the stand-in server's time to write a prepared body.
func BenchmarkCapacityVMList(b *testing.B) {
	for _, agents := range []int{100, 400, 1200} {
		b.Run(fmt.Sprintf("vms=%d", agents+agents*targetEntries/targetAgents), func(b *testing.B) {
			body, err := json.Marshal(makeVMs(agents))
			require.NoError(b, err)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) }))
			b.Cleanup(server.Close)
			lister := vmlist.NewHTTP(server.URL, httpjson.Options{})
			b.ReportAllocs()
			used := cpuTime()
			for b.Loop() {
				_, err := lister.List(b.Context())
				require.NoError(b, err)
			}
			b.ReportMetric(float64((cpuTime()-used).Microseconds())/float64(b.N), "cpu-us/read")
			b.ReportMetric(float64(len(body)), "wire-B")
		})
	}
}

// BenchmarkCapacitySpreadMembers reports the time to update the members of the spread of documents
// with the live entries, which happens once a second.
func BenchmarkCapacitySpreadMembers(b *testing.B) {
	for _, entries := range []int{64, 350, 1550} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			all := spreadMembers(entries)
			now := time.Unix(1_000, 0)
			node := spread.New(spread.DefaultConfig(all[0]), now, 1, true)
			b.ReportAllocs()
			for b.Loop() {
				node.SetMembers(now, all)
			}
		})
	}
}

func spreadMembers(n int) []spread.Member {
	all := make([]spread.Member, n)
	for i := range all {
		all[i] = spread.Member{ID: spread.NodeID(fmt.Sprintf("entry-%04d", i)), Zone: fmt.Sprintf("zone-%d", i%targetZones)}
	}
	return all
}
