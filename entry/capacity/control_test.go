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

// services returns the number of services that a fleet of agents is spread over: the
// design's fleet has one for each of its models.
func services(agents int) int { return max(1, agents*designModels/designAgents) }

// vmsOf returns a list of VMs with that many agents, and entries in the design's proportion.
func vmsOf(agents int) []vmlist.VM {
	vms := make([]vmlist.VM, 0, 2*agents)
	for i := range agents {
		vms = append(vms, vmlist.VM{
			ID: fmt.Sprintf("engine-%04d", i), Role: vmlist.RoleAgent, Zone: fmt.Sprintf("zone-%d", i%designZones),
			Link: fmt.Sprintf("10.20.%d.%d:7070", i/250, i%250), Service: fmt.Sprintf("assistant-%02d", i%services(agents)),
		})
	}
	for i := range agents * designEntries / designAgents {
		vms = append(vms, vmlist.VM{
			ID: fmt.Sprintf("entry-%04d", i), Role: vmlist.RoleEntry, Zone: fmt.Sprintf("zone-%d", i%designZones),
			Link: fmt.Sprintf("10.30.%d.%d:7070", i/250, i%250),
		})
	}
	return vms
}

// filledView returns a view that has heard of every agent's load and routed to each service.
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

// BenchmarkCapacityView reports the memory of an entry's view of the fleet, its routing
// state included, and the time to take a newly read list of VMs.
func BenchmarkCapacityView(b *testing.B) {
	for _, agents := range []int{100, 400, 1200} {
		b.Run(fmt.Sprintf("replicas=%d", agents), func(b *testing.B) {
			vms := vmsOf(agents)
			before := heap()
			view := filledView(vms)
			held := heap() - before
			b.ReportAllocs()
			for b.Loop() {
				view.SetVMs(vms)
			}
			b.ReportMetric(held, "heap-B")
			runtime.KeepAlive(view)
		})
	}
}

// BenchmarkCapacityRoutingState reports the memory of the routing policy of one service.
func BenchmarkCapacityRoutingState(b *testing.B) {
	for _, replicas := range []int{11, 44, 176} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			all := replicasOf(replicas)
			request := &routing.Request{Service: serviceName, Model: modelName, Demand: call.TokenDemand{PromptTokens: 8_000, MaxTokens: 1_024}, Zone: "zone-0", Prefix: offer(16).Prefix}
			before := heap()
			policy := process.Policies("combined", 1)(serviceName)
			now := time.Unix(1_000, 0)
			policy.Choose(request, all, now)
			held := heap() - before
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				policy.Choose(request, all, now)
			}
			b.ReportMetric(held, "heap-B")
		})
	}
}

func replicasOf(n int) []routing.Replica {
	all := make([]routing.Replica, n)
	for i := range all {
		all[i] = routing.Replica{
			Agent: fmt.Sprintf("engine-%04d", i), Zone: fmt.Sprintf("zone-%d", i%designZones), Service: serviceName,
			Model: modelName, Incarnation: call.Incarnation(i + 1), Load: busyLoad(), LoadTakenAt: time.Unix(1_000, 0),
		}
	}
	return all
}

// members returns a membership view that has taken the list.
func members(now time.Time, vms []vmlist.VM) *membership.View {
	view := membership.New(membership.DefaultConfig())
	list := make([]membership.VM, 0, len(vms))
	for _, vm := range vms {
		list = append(list, membership.VM{ID: membership.ID(vm.ID), Zone: vm.Zone, Link: vm.Link, Service: vm.Service})
	}
	view.HandleList(now, list)
	return view
}

// BenchmarkCapacityMembershipTick reports the time of one of the ten ticks a second.
func BenchmarkCapacityMembershipTick(b *testing.B) {
	for _, agents := range []int{100, 400, 1200} {
		b.Run(fmt.Sprintf("replicas=%d", agents), func(b *testing.B) {
			now := time.Unix(1_000, 0)
			view := members(now, vmsOf(agents))
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(tick)
				view.Tick(now)
			}
		})
	}
}

// tick is the time between two ticks of the state machines.
const tick = 100 * time.Millisecond

// BenchmarkCapacityProbes reports the probes that one entry sends when VMs fail and the
// list goes on showing them: in the first two seconds, and in steady state.
func BenchmarkCapacityProbes(b *testing.B) {
	for _, failed := range []int{8, 80, 387} {
		b.Run(fmt.Sprintf("failed=%d", failed), func(b *testing.B) {
			vms := vmsOf(designAgents)
			first, later := 0, 0
			for b.Loop() {
				first, later = probes(vms, failed)
			}
			b.ReportMetric(float64(first)/2, "first-probes/s")
			b.ReportMetric(float64(later)/60, "later-probes/s")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func probes(vms []vmlist.VM, failed int) (first, later int) {
	now := time.Unix(1_000, 0)
	view := members(now, vms)
	for _, vm := range vms[:failed] {
		view.HandleTimeout(now, membership.ID(vm.ID), now)
	}
	for i := range 900 {
		now = now.Add(tick)
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

// BenchmarkCapacityVMList reports the size of the list of VMs and the processor time of
// one read of it over HTTP, the stand-in's part of writing a ready body included.
func BenchmarkCapacityVMList(b *testing.B) {
	for _, agents := range []int{100, 400, 1200} {
		b.Run(fmt.Sprintf("vms=%d", agents+agents*designEntries/designAgents), func(b *testing.B) {
			body, err := json.Marshal(vmsOf(agents))
			require.NoError(b, err)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) }))
			b.Cleanup(server.Close)
			lister := vmlist.NewHTTP(server.URL, httpjson.Options{})
			b.ReportAllocs()
			used := cpu()
			for b.Loop() {
				_, err := lister.List(b.Context())
				require.NoError(b, err)
			}
			b.ReportMetric(float64((cpu()-used).Microseconds())/float64(b.N), "cpu-us/read")
			b.ReportMetric(float64(len(body)), "wire-B")
		})
	}
}

// BenchmarkCapacityMembersOfSpread reports the time to hand the live entries to the spread
// of documents, which happens once a second.
func BenchmarkCapacityMembersOfSpread(b *testing.B) {
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
		all[i] = spread.Member{ID: spread.NodeID(fmt.Sprintf("entry-%04d", i)), Zone: fmt.Sprintf("zone-%d", i%designZones)}
	}
	return all
}
