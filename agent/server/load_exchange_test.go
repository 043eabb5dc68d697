package server

import (
	"context"
	"testing"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/result"
	"acaciacleat.example/peers/vmlist"
	"github.com/stretchr/testify/require"
)

// fixedVMList is a list of VMs that does not change.
type fixedVMList []vmlist.VM

func (l fixedVMList) List(context.Context) ([]vmlist.VM, error) { return l, nil }

// The platform marks the agent's VM as leaving, but the process gets no signal. If the agent
// ignored the mark, it would accept calls until the platform removes the VM.
func TestAgentLeavesWhenItsVMIsMarkedLeaving(t *testing.T) {
	s := startServer(t, nil)
	e := dialEntry(t, "entry", s)
	own := vmlist.VM{ID: "agent", Role: vmlist.RoleAgent, Zone: "zone-a", Service: testService}
	other := vmlist.VM{ID: "other", Role: vmlist.RoleAgent, Zone: "zone-a", Service: testService, Draining: true}
	s.refreshPeers(t.Context(), fixedVMList{own, other}, nil)
	first, second := call.ID{1}, call.ID{2}
	require.NoError(t, e.conn.Send(offerOf(first, s, true)))
	e.await(t, "the end", func() bool { return e.answered(first) })
	_, refused := e.refusal(first)
	require.False(t, refused, "the leaving mark of another VM does not concern this one")
	own.Draining = true
	s.refreshPeers(t.Context(), fixedVMList{own, other}, nil)
	e.await(t, "the Leaving message", func() bool { return e.leavingReceived })
	require.NoError(t, e.conn.Send(offerOf(second, s, true)))
	e.await(t, "the refusal", func() bool { return e.answered(second) })
	refusal, _ := e.refusal(second)
	require.Equal(t, result.Draining, refusal.Code)
	require.Equal(t, result.NotRun, refusal.Execution)
}
