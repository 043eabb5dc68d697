package idempotency

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/result"
)

var (
	bindingA = Binding{Agent: "a", Incarnation: localIncarnation, Stamp: 1}
	bindingB = Binding{Agent: "b", Incarnation: otherIncarnation, Stamp: 2}
)

func newClaim() *Claim {
	return NewClaim(ClaimSpec{ID: call.ID{1}, Request: RequestHash{1}, Token: "mine", Deadline: at(60)})
}

// encodedRow returns the stored row of another try, or of this try's nth write.
func encodedRow(writer string, request byte, b Binding) []byte {
	b.Attempt = 1
	row := Row{Request: RequestHash{request}, ID: call.ID{9}, Binding: b, Writer: writer, Expires: at(100)}
	return row.Encode()
}

// insertLost leaves the Claim reading the row back after a lost answer to its insert.
func insertLost(c *Claim) ClaimAction {
	a := c.Start(at(0), bindingA)
	return c.WriteFailed(at(1), a.Op, StoreOutcomeUnknown)
}

// boundAndRefused leaves the Claim waiting for Rebind after a proved refusal.
func boundAndRefused(c *Claim) ClaimAction {
	a := c.Start(at(0), bindingA)
	c.Written(at(1), a.Op, 5)
	return c.Refused(at(2), result.QueueFull, result.NotRun)
}

// TestClaimFaults tests the Claim's reactions to faults. The comments name the failure that
// a case guards against.
func TestClaimFaults(t *testing.T) {
	cases := []struct {
		name      string
		steps     func(c *Claim) ClaimAction
		kind      ClaimKind
		code      result.Code
		execution result.Execution
	}{
		{"bound", func(c *Claim) ClaimAction {
			a := c.Start(at(0), bindingA)
			return c.Written(at(1), a.Op, 5)
		}, OfferBound, 0, ""},
		// An insert that took effect must not fail the call when its answer is lost: the
		// row is read back.
		{"insert's answer lost, it took effect", func(c *Claim) ClaimAction {
			a := insertLost(c)
			return c.ReadDone(at(2), a.Op, encodedRow("mine.1", 1, bindingA), 5, true)
		}, OfferBound, 0, ""},
		// An absent row does not prove that the lost insert failed, because it may still
		// be in progress. If the call were offered now, another try's insert could commit
		// first and the call would run twice. The row must be inserted again.
		{"insert's answer lost, no row yet", func(c *Claim) ClaimAction {
			a := insertLost(c)
			return c.ReadDone(at(2), a.Op, nil, 0, false)
		}, InsertRow, 0, ""},
		// A client tries at two entries at once and the inserts race. The entry that loses
		// must attach to the other one's binding, or the call would run twice.
		{"other entry was first", func(c *Claim) ClaimAction {
			a := c.Start(at(0), bindingA)
			a = c.WriteFailed(at(1), a.Op, StoreConflict)
			return c.ReadDone(at(2), a.Op, encodedRow("other.1", 1, bindingB), 5, true)
		}, AttachBound, 0, ""},
		// The same race after a lost answer.
		{"insert's answer lost, other entry was first", func(c *Claim) ClaimAction {
			a := insertLost(c)
			return c.ReadDone(at(2), a.Op, encodedRow("other.1", 1, bindingB), 5, true)
		}, AttachBound, 0, ""},
		{"other body", func(c *Claim) ClaimAction {
			a := c.Start(at(0), bindingA)
			a = c.WriteFailed(at(1), a.Op, StoreConflict)
			return c.ReadDone(at(2), a.Op, encodedRow("other.1", 2, bindingB), 5, true)
		}, ClaimFailed, result.KeyReused, result.NotRun},
		{"store down", func(c *Claim) ClaimAction {
			a := c.Start(at(0), bindingA)
			return c.WriteFailed(at(1), a.Op, StoreUnavailable)
		}, ClaimFailed, result.TableUnavailable, result.NotRun},
		// The insert's answer is lost, then the store is down, and the insert may still
		// commit. The later failures prove nothing about the insert, so NotRun would be
		// wrong: another try may run the call.
		{"insert's answer lost, then store down", func(c *Claim) ClaimAction {
			a := insertLost(c)
			for range 2 * maxStoreOperations {
				if a.Kind == ReadRow {
					a = c.ReadFailed(at(2), a.Op)
				}
			}
			return a
		}, ClaimFailed, result.TableOutcome, result.Unknown},
		{"row can't be read", func(c *Claim) ClaimAction {
			a := c.Start(at(0), bindingA)
			a = c.WriteFailed(at(1), a.Op, StoreConflict)
			return c.ReadDone(at(2), a.Op, []byte("{"), 5, true)
		}, ClaimFailed, result.Internal, result.Unknown},
		// The loss of the bound agent is not a refusal. If the key were bound to a second
		// agent, both could run the call.
		{"bound agent restarted", func(c *Claim) ClaimAction {
			a := c.Start(at(0), bindingA)
			c.Written(at(1), a.Op, 5)
			return c.Refused(at(2), result.WrongIncarnation, result.Unknown)
		}, ClaimFailed, result.FirstRunLost, result.Unknown},
		{"rebind without a refusal does nothing", func(c *Claim) ClaimAction {
			a := c.Start(at(0), bindingA)
			c.Written(at(1), a.Op, 5)
			return c.Rebind(at(2), bindingB)
		}, ClaimNone, 0, ""},
		{"proved refusal", boundAndRefused, ChooseAgain, 0, ""},
		{"rebind", func(c *Claim) ClaimAction {
			boundAndRefused(c)
			return c.Rebind(at(3), bindingB)
		}, RebindRow, 0, ""},
		// Two tries get the refusal of the first agent and both rebind the key. The update
		// must be conditional on the version, or the call would run twice.
		{"other entry rebound first", func(c *Claim) ClaimAction {
			boundAndRefused(c)
			a := c.Rebind(at(3), bindingB)
			a = c.WriteFailed(at(4), a.Op, StoreConflict)
			return c.ReadDone(at(5), a.Op, encodedRow("other.2", 1, bindingB), 6, true)
		}, AttachBound, 0, ""},
		{"rebind's answer lost, row as before", func(c *Claim) ClaimAction {
			boundAndRefused(c)
			a := c.Rebind(at(3), bindingB)
			a = c.WriteFailed(at(4), a.Op, StoreOutcomeUnknown)
			return c.ReadDone(at(5), a.Op, encodedRow("mine.1", 1, bindingA), 5, true)
		}, RebindRow, 0, ""},
		{"row deleted during the call", func(c *Claim) ClaimAction {
			boundAndRefused(c)
			a := c.Rebind(at(3), bindingB)
			a = c.WriteFailed(at(4), a.Op, StoreConflict)
			return c.ReadDone(at(5), a.Op, nil, 0, false)
		}, ClaimFailed, result.TableOutcome, result.Unknown},
		// An entry is paused between the insert and the offer. It must check the deadline
		// again, or the call would run after its caller was told that it failed. Another
		// try may have run the row's call in the meantime, so the execution is Unknown.
		{"paused past the deadline", func(c *Claim) ClaimAction {
			a := c.Start(at(0), bindingA)
			return c.Written(at(61), a.Op, 5)
		}, ClaimFailed, result.DeadlinePassed, result.Unknown},
		// The late answer to an insert, whose outcome was already read back, arrives during
		// the rebinding after a refusal. If it counted as the answer to the rebinding, the
		// call could run twice.
		{"insert's answer comes during the rebinding", func(c *Claim) ClaimAction {
			insert := c.Start(at(0), bindingA)
			a := c.WriteFailed(at(1), insert.Op, StoreOutcomeUnknown)
			c.ReadDone(at(2), a.Op, encodedRow("mine.1", 1, bindingA), 5, true)
			c.Refused(at(3), result.QueueFull, result.NotRun)
			c.Rebind(at(4), bindingB)
			return c.Written(at(5), insert.Op, 5)
		}, ClaimNone, 0, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := c.steps(newClaim())
			require.Equal(t, c.kind, a.Kind, "%+v", a)
			if c.kind == ClaimFailed {
				require.Equal(t, c.code, a.Err.Code)
				require.Equal(t, c.execution, a.Err.Execution)
			}
		})
	}
}

// TestInsertAgainKeepsItsToken checks that an insert that is repeated after a lost answer
// has the same token and value. Otherwise it could write twice, or the Claim would not
// recognise its own row.
func TestInsertAgainKeepsItsToken(t *testing.T) {
	c := newClaim()
	a := c.Start(at(0), bindingA)
	read := c.WriteFailed(at(1), a.Op, StoreOutcomeUnknown)
	again := c.ReadDone(at(2), read.Op, nil, 0, false)
	require.Equal(t, a.Token, again.Token)
	require.Equal(t, a.Row, again.Row)
	require.Equal(t, a.Row.Writer, a.Token)
	require.Greater(t, again.Op, read.Op)
}

// TestRowNames checks that a row's name starts with its service and has a fixed length for
// the key, and that moving a byte from the body to the path changes the request's hash.
func TestRowNames(t *testing.T) {
	name := RowName("parts", "omuti", "job/7")
	require.Equal(t, "parts", ServiceOf(name))
	require.Len(t, name, len("parts/omuti/")+64)
	require.NotEqual(t, HashRequest("POST", "/a", []byte("b")), HashRequest("POST", "/ab", nil))
}

// TestSweep checks that a row is deleted only after SweepMargin, and that entries with the
// same list in another order agree on the sweeper.
func TestSweep(t *testing.T) {
	row := Row{Expires: epoch}
	require.False(t, Sweepable(&row, epoch.Add(SweepMargin)))
	require.True(t, Sweepable(&row, epoch.Add(SweepMargin+time.Second)))
	require.Equal(t, Sweeper("parts", []string{"e1", "e2", "e3"}), Sweeper("parts", []string{"e3", "e2", "e1"}))
	require.Empty(t, Sweeper("parts", nil))
}

// FuzzDecodeRow checks that a row that can be decoded is equal after it is encoded and
// decoded again.
func FuzzDecodeRow(f *testing.F) {
	f.Add(encodedRow("w", 1, bindingA))
	f.Add([]byte(`{"format":1}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		row, err := DecodeRow(value)
		if err != nil {
			return
		}
		again, err := DecodeRow(row.Encode())
		require.NoError(t, err)
		require.Equal(t, row, again)
	})
}

// Guards against a claim that asks the store beyond the call's deadline, or longer than its bound on operations allows.
func TestStoreRetriesEndInTime(t *testing.T) {
	const storeTimeout, allDelays = 2 * time.Second, 3150 * time.Millisecond
	for name, read := range map[string]func(*Claim, time.Time, uint32) ClaimAction{
		"reads fail":  func(c *Claim, now time.Time, op uint32) ClaimAction { return c.ReadFailed(now, op) },
		"row missing": func(c *Claim, now time.Time, op uint32) ClaimAction { return c.ReadDone(now, op, nil, 0, false) },
	} {
		for _, operation := range []time.Duration{0, 100 * time.Millisecond, storeTimeout} {
			for _, allowed := range []time.Duration{time.Second, 4 * time.Second, 30 * time.Second} {
				start, token, operations := at(0), "", 0
				c := NewClaim(ClaimSpec{ID: call.ID{1}, Request: RequestHash{1}, Token: "mine", Deadline: start.Add(allowed)})
				now := start
				a := c.Start(now, bindingA)
				for a.Kind != ClaimFailed {
					if now = now.Add(a.Delay); !now.Before(start.Add(allowed)) {
						now = start.Add(allowed)
						a = c.Timer(now)
						continue
					}
					now = earlier(now.Add(operation), start.Add(allowed))
					operations++
					if a.Kind == ReadRow {
						a = read(c, now, a.Op)
						continue
					}
					require.True(t, token == "" || token == a.Token, "%s: a second token would write twice", name)
					token = a.Token
					a = c.WriteFailed(now, a.Op, StoreOutcomeUnknown)
				}
				require.Equal(t, result.Unknown, a.Err.Execution)
				require.LessOrEqual(t, operations, maxStoreOperations)
				require.LessOrEqual(t, now.Sub(start), min(allowed, allDelays+time.Duration(operations)*operation))
			}
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
