package flight

import (
	"context"
	"time"

	"acaciacleat.example/core/attempt"
	"acaciacleat.example/core/idempotency"
	"acaciacleat.example/core/result"
	"acaciacleat.example/entry/fleet"
	"acaciacleat.example/peers/table"
	"github.com/pkg/errors"
)

// Key holds what is needed to bind a call's Idempotency-Key to one agent.
type Key struct {
	// Row is the row's name in the table idempotency.Table.
	Row   string
	Hash  idempotency.RequestHash
	Token string
	Store table.Store
	// claim is this request's claim on the key. It stays the same when the key is bound to another
	// agent.
	claim *idempotency.Claim
}

// storeTimeout bounds one operation of the store.
const storeTimeout = 2 * time.Second

// claim binds the key to the chosen agent, or finds the agent to which another request has
// bound it.
func (f *Flight) claim(ctx context.Context, target fleet.Target) attempt.Action {
	now := time.Now()
	binding := idempotency.Binding{
		Agent:       target.Agent,
		Incarnation: target.Incarnation,
		Stamp:       target.Stamp,
	}
	if action := f.machine.Claiming(now); action.Kind == attempt.Fail {
		return action
	}
	if f.spec.Key.claim == nil {
		return f.runClaim(ctx, f.startClaim(now, binding))
	}
	return f.runClaim(ctx, f.rebind(now, binding))
}

func (f *Flight) startClaim(now time.Time, binding idempotency.Binding) idempotency.ClaimAction {
	key := f.spec.Key
	key.claim = idempotency.NewClaim(idempotency.ClaimSpec{
		ID:       f.spec.ID,
		Request:  key.Hash,
		Token:    key.Token,
		Deadline: f.spec.Deadline,
	})
	return key.claim.Start(now, binding)
}

// rebind binds the key to another agent. The machine chooses again for a keyed call only
// after the bound agent has proved that the call did not and will not run there, by a
// refusal, a confirmed cancellation or an end. The proof is reported to the Claim here, at one
// place, instead of in the handler of each message. If a handler did not report it, the Claim
// would refuse to rebind, and the call would fail with execution unknown although it is proved
// not to have run.
func (f *Flight) rebind(now time.Time, binding idempotency.Binding) idempotency.ClaimAction {
	claim := f.spec.Key.claim
	// The code has no effect: the Claim uses it only if the execution is not proved.
	refused := claim.Refused(now, result.Tombstoned, result.NotRun)
	if refused.Kind == idempotency.ClaimFailed {
		return refused
	}
	return claim.Rebind(now, binding)
}

// runClaim performs the claim's actions until the key is bound, another agent must be chosen or the
// claim has failed.
func (f *Flight) runClaim(ctx context.Context, next idempotency.ClaimAction) attempt.Action {
	for {
		switch next.Kind {
		case idempotency.InsertRow, idempotency.RebindRow:
			next = f.writeRow(ctx, next)
		case idempotency.ReadRow:
			next = f.readRow(ctx, next)
		case idempotency.OfferBound, idempotency.AttachBound:
			return f.reportBound(next)
		case idempotency.ClaimFailed:
			return f.machine.ClaimFailed(time.Now(), next.Err)
		case idempotency.ChooseAgain:
			return f.choose(ctx, attempt.Action{})
		default:
			return f.machine.ClaimFailed(time.Now(), result.New(result.TableOutcome, f.spec.Key.claim.Execution(), ""))
		}
	}
}

// reportBound reports to the machine, as the chosen agent, the one to which the key is bound.
func (f *Flight) reportBound(next idempotency.ClaimAction) attempt.Action {
	b := next.Binding
	f.observe("bound", b.Agent, "by Idempotency-Key")
	f.target = fleet.Target{Agent: b.Agent, Incarnation: b.Incarnation, Stamp: b.Stamp}
	return f.machine.Chosen(time.Now(), attempt.Replica{
		Agent:       b.Agent,
		Incarnation: b.Incarnation,
		Stamp:       b.Stamp,
		ID:          next.ID,
		Attempt:     b.Attempt,
	})
}

func (f *Flight) writeRow(ctx context.Context, next idempotency.ClaimAction) idempotency.ClaimAction {
	claim := f.spec.Key.claim
	if !pause(ctx, next.Delay) {
		// The request has ended. A timer event at its deadline ends the Claim.
		return claim.Timer(f.spec.Deadline)
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key := table.Key{Table: idempotency.Table, Row: f.spec.Key.Row}
	versions, err := f.spec.Key.Store.Commit(ctx, table.Tx{
		Token:      next.Token,
		Conditions: []table.Condition{{Key: key, Version: next.Version}},
		Writes:     []table.Write{{Key: key, Value: next.Row.Encode()}},
	})
	if err != nil {
		return claim.WriteFailed(time.Now(), next.Op, storeFailure(err))
	}
	return claim.Written(time.Now(), next.Op, versions[0])
}

func (f *Flight) readRow(ctx context.Context, next idempotency.ClaimAction) idempotency.ClaimAction {
	claim := f.spec.Key.claim
	if !pause(ctx, next.Delay) {
		// The request has ended. A timer event at its deadline ends the Claim.
		return claim.Timer(f.spec.Deadline)
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	row, err := f.spec.Key.Store.Get(ctx, table.Key{Table: idempotency.Table, Row: f.spec.Key.Row}, table.Latest)
	switch {
	case errors.Is(err, table.ErrNotFound):
		return claim.ReadDone(time.Now(), next.Op, nil, 0, false)
	case err != nil:
		return claim.ReadFailed(time.Now(), next.Op)
	default:
		return claim.ReadDone(time.Now(), next.Op, row.Value, row.Version, true)
	}
}

func storeFailure(err error) idempotency.StoreFailure {
	switch {
	case errors.Is(err, table.ErrConflict):
		return idempotency.StoreConflict
	case errors.Is(err, table.ErrUnavailable), errors.Is(err, table.ErrInvalid):
		return idempotency.StoreUnavailable
	default:
		return idempotency.StoreOutcomeUnknown
	}
}

// pause waits for d. It returns false if ctx ended first.
func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
