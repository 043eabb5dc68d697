package idempotency

import (
	"testing"

	"github.com/stretchr/testify/require"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/result"
)

// offerOf returns the offer that an entry sends for OfferBound or AttachBound.
func offerOf(a ClaimAction) Offer {
	return Offer{ID: a.ID, Attempt: a.Binding.Attempt, BoundTo: a.Binding.Incarnation, Stamp: a.Binding.Stamp}
}

// twoTries returns a first try that has written its row, bound to the agent of the returned
// Ledger, and a second try, at another entry, that has found that row.
func twoTries(t *testing.T) (ledger *Ledger, offered ClaimAction, tries [2]*Claim, attached ClaimAction) {
	one := newClaim()
	insert := one.Start(at(0), bindingA)
	offered = one.Written(at(0), insert.Op, 5)
	require.Equal(t, OfferBound, offered.Kind)

	two := NewClaim(ClaimSpec{ID: call.ID{2}, Request: RequestHash{1}, Token: "two", Deadline: at(60)})
	a := two.Start(at(1), bindingB)
	a = two.WriteFailed(at(1), a.Op, StoreConflict)
	attached = two.ReadDone(at(1), a.Op, insert.Row.Encode(), 5, true)
	require.Equal(t, AttachBound, attached.Kind)
	return newLedger(), offered, [2]*Claim{one, two}, attached
}

// TestEntryDiesBetweenInsertAndOffer has an entry fail after it wrote the row and before
// it offered the call. The offer of a second try at another entry must start the run, or
// the key would stay Unknown although nothing ran. If the first entry was only paused, its
// offer then attaches to that run.
func TestEntryDiesBetweenInsertAndOffer(t *testing.T) {
	ledger, offered, _, attached := twoTries(t)
	require.Equal(t, Run, ledger.Offer(at(2), offerOf(attached)).Kind)
	require.Equal(t, AttachRunning, ledger.Offer(at(3), offerOf(offered)).Kind)
}

// TestPausedClaimantWakesAfterRebinding pauses an entry before its offer while a second
// try is refused by the bound agent, rebinds the key and runs on another agent. When the
// entry resumes with its outdated binding, the agent's tombstone refuses its offer and the
// row's version refuses its rebinding; otherwise the call would run twice.
func TestPausedClaimantWakesAfterRebinding(t *testing.T) {
	ledger, offered, tries, attached := twoTries(t)
	one, two := tries[0], tries[1]
	ledger.Offer(at(2), offerOf(attached))
	require.True(t, ledger.Refuse(at(2), attached.ID))
	require.Equal(t, ChooseAgain, two.Refused(at(2), result.QueueFull, result.NotRun).Kind)
	rebound := two.Rebind(at(2), bindingB)
	require.EqualValues(t, 5, rebound.Version)

	late := ledger.Offer(at(9), offerOf(offered))
	require.Equal(t, result.Tombstoned, late.Code)
	require.Equal(t, ChooseAgain, one.Refused(at(9), late.Code, late.Execution).Kind)
	a := one.Rebind(at(9), Binding{Agent: "c", Incarnation: 9})
	a = one.WriteFailed(at(9), a.Op, StoreConflict)
	a = one.ReadDone(at(9), a.Op, rebound.Row.Encode(), 6, true)
	require.Equal(t, AttachBound, a.Kind)
	require.Equal(t, rebound.Row.Binding, a.Binding)
	require.Equal(t, call.ID{2}, a.ID)
}

// TestCancelledAndTriedAgain cancels a try while it is queued, and the caller sends the
// call again. The second try must not attach to the run that was removed from the queue,
// where it would never run. It is refused as tombstoned and binds the key under its own id.
func TestCancelledAndTriedAgain(t *testing.T) {
	ledger, offered, tries, attached := twoTries(t)
	ledger.Offer(at(2), offerOf(offered))
	require.True(t, ledger.Cancel(at(2), cancelOf(offerOf(offered))).Dequeued)
	v := ledger.Offer(at(3), offerOf(attached))
	require.Equal(t, Refused, v.Kind)
	require.Equal(t, ChooseAgain, tries[1].Refused(at(3), v.Code, v.Execution).Kind)
	rebound := tries[1].Rebind(at(3), bindingA)
	again := tries[1].Written(at(3), rebound.Op, 6)
	require.Equal(t, Run, ledger.Offer(at(3), offerOf(again)).Kind)
	require.False(t, ledger.Begin(offered.ID))
}
