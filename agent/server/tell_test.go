package server

import (
	"context"
	"testing"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/result"
	"acaciacleat.example/peers/vmlist"
	"github.com/stretchr/testify/require"
)

// fixedList is a list of VMs that stays as it is.
type fixedList []vmlist.VM

func (l fixedList) List(context.Context) ([]vmlist.VM, error) { return l, nil }

// Symptom: calls are sent to a VM until the moment when the platform takes it away.
// Sequence: the platform marks the agent's VM as leaving; the process gets no signal.
// Cause: the agent reads the list for its peers alone.
func TestLeavingMarkOfItsOwnVMIsObeyed(t *testing.T) {
	s := startServer(t, nil)
	e := dialEntry(t, "entry", s)
	own := vmlist.VM{ID: "agent", Role: vmlist.RoleAgent, Zone: "zone-a", Service: testService}
	other := vmlist.VM{ID: "other", Role: vmlist.RoleAgent, Zone: "zone-a", Service: testService, Draining: true}
	s.readGroup(t.Context(), fixedList{own, other}, nil)
	first, second := call.ID{1}, call.ID{2}
	require.NoError(t, e.conn.Send(offerOf(first, s, true)))
	e.await(t, "the end", func() bool { return e.answered(first) })
	_, refused := e.refusal(first)
	require.False(t, refused, "another VM's mark says nothing about this one")
	own.Draining = true
	s.readGroup(t.Context(), fixedList{own, other}, nil)
	e.await(t, "the word that the agent leaves", func() bool { return e.left })
	require.NoError(t, e.conn.Send(offerOf(second, s, true)))
	e.await(t, "the refusal", func() bool { return e.answered(second) })
	refusal, _ := e.refusal(second)
	require.Equal(t, result.Draining, refusal.Code)
	require.Equal(t, result.NotRun, refusal.Execution)
}
