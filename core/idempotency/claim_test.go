package idempotency

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/result"
)

var (
	first  = Binding{Agent: "a", Incarnation: here, Stamp: 1}
	second = Binding{Agent: "b", Incarnation: there, Stamp: 2}
)

func newClaim() *Claim {
	return NewClaim(ClaimSpec{ID: call.ID{1}, Request: RequestHash{1}, Token: "mine", Deadline: at(60)})
}

// rowOf is the row that another try, or this one in its nth write, has written.
func rowOf(writer string, request byte, b Binding) []byte {
	b.Attempt = 1
	row := Row{Request: RequestHash{request}, ID: call.ID{9}, Binding: b, Writer: writer, Expires: at(100)}
	return row.Encode()
}

// insertLost leaves the Claim reading the row back after a lost answer to its insert.
func insertLost(c *Claim) ClaimAction {
	a := c.Start(at(0), first)
	return c.WriteFailed(at(1), a.Op, StoreLost)
}

// boundAndRefused leaves the Claim waiting for Rebind after a proved refusal.
func boundAndRefused(c *Claim) ClaimAction {
	a := c.Start(at(0), first)
	c.Written(at(1), a.Op, 5)
	return c.Refused(at(2), result.QueueFull, result.NotRun)
}

// Each case: a symptom, the sequence that leads to it, and the cause that the Claim closes.
func TestClaimFaults(t *testing.T) {
	cases := []struct {
		name  string
		steps func(c *Claim) ClaimAction
		kind  ClaimKind
		code  result.Code
		says  result.Execution
	}{
		{"bound", func(c *Claim) ClaimAction {
			a := c.Start(at(0), first)
			return c.Written(at(1), a.Op, 5)
		}, OfferBound, 0, ""},
		// Symptom: a keyed call fails though its row was written. Sequence: the insert
		// takes effect, its answer is lost. Cause: the outcome was not read back.
		{"insert's answer lost, it took effect", func(c *Claim) ClaimAction {
			a := insertLost(c)
			return c.ReadDone(at(2), a.Op, rowOf("mine.1", 1, first), 5, true)
		}, OfferBound, 0, ""},
		// Symptom: two runs. Sequence: the insert is lost but still under way; the row
		// reads as absent; the call is offered; the other try's insert lands first.
		// Cause: an absent row was taken for a free one. It must be inserted again.
		{"insert's answer lost, no row yet", func(c *Claim) ClaimAction {
			a := insertLost(c)
			return c.ReadDone(at(2), a.Op, nil, 0, false)
		}, InsertRow, 0, ""},
		// Symptom: a route is posted twice by a tablet that tried at two entries at once.
		// Sequence: both inserts race. Cause: the loser offers the call as well.
		{"other entry was first", func(c *Claim) ClaimAction {
			a := c.Start(at(0), first)
			a = c.WriteFailed(at(1), a.Op, StoreConflict)
			return c.ReadDone(at(2), a.Op, rowOf("other.1", 1, second), 5, true)
		}, AttachBound, 0, ""},
		// Symptom: as above, after a lost answer.
		{"insert's answer lost, other entry was first", func(c *Claim) ClaimAction {
			a := insertLost(c)
			return c.ReadDone(at(2), a.Op, rowOf("other.1", 1, second), 5, true)
		}, AttachBound, 0, ""},
		{"other body", func(c *Claim) ClaimAction {
			a := c.Start(at(0), first)
			a = c.WriteFailed(at(1), a.Op, StoreConflict)
			return c.ReadDone(at(2), a.Op, rowOf("other.1", 2, second), 5, true)
		}, ClaimFailed, result.KeyReused, result.NotRun},
		{"store down", func(c *Claim) ClaimAction {
			a := c.Start(at(0), first)
			return c.WriteFailed(at(1), a.Op, StoreUnavailable)
		}, ClaimFailed, result.TableUnavailable, result.NotRun},
		// Symptom: not-run is said of a call that another try then runs. Sequence: the
		// insert's answer is lost, then the store is down; the insert lands. Cause: the
		// later refusal was taken to speak of the earlier write.
		{"insert's answer lost, then store down", func(c *Claim) ClaimAction {
			a := insertLost(c)
			for range 2 * settleTries {
				if a.Kind == ReadRow {
					a = c.ReadFailed(at(2), a.Op)
				}
			}
			return a
		}, ClaimFailed, result.TableOutcome, result.Unknown},
		{"row can't be read", func(c *Claim) ClaimAction {
			a := c.Start(at(0), first)
			a = c.WriteFailed(at(1), a.Op, StoreConflict)
			return c.ReadDone(at(2), a.Op, []byte("{"), 5, true)
		}, ClaimFailed, result.Internal, result.Unknown},
		// Symptom: a call runs on a second agent while the first runs it. Sequence: the
		// first agent is lost, not heard to refuse. Cause: a loss taken for a refusal.
		{"bound agent restarted", func(c *Claim) ClaimAction {
			a := c.Start(at(0), first)
			c.Written(at(1), a.Op, 5)
			return c.Refused(at(2), result.WrongIncarnation, result.Unknown)
		}, ClaimFailed, result.FirstRunLost, result.Unknown},
		{"rebind without a refusal does nothing", func(c *Claim) ClaimAction {
			a := c.Start(at(0), first)
			c.Written(at(1), a.Op, 5)
			return c.Rebind(at(2), second)
		}, ClaimNone, 0, ""},
		{"proved refusal", boundAndRefused, ChooseAgain, 0, ""},
		{"rebind", func(c *Claim) ClaimAction {
			boundAndRefused(c)
			return c.Rebind(at(3), second)
		}, RebindRow, 0, ""},
		// Symptom: two runs after one refusal. Sequence: two tries see the first agent
		// refuse and each rebinds the key. Cause: an unconditional update.
		{"other entry rebound first", func(c *Claim) ClaimAction {
			boundAndRefused(c)
			a := c.Rebind(at(3), second)
			a = c.WriteFailed(at(4), a.Op, StoreConflict)
			return c.ReadDone(at(5), a.Op, rowOf("other.2", 1, second), 6, true)
		}, AttachBound, 0, ""},
		{"rebind's answer lost, row as before", func(c *Claim) ClaimAction {
			boundAndRefused(c)
			a := c.Rebind(at(3), second)
			a = c.WriteFailed(at(4), a.Op, StoreLost)
			return c.ReadDone(at(5), a.Op, rowOf("mine.1", 1, first), 5, true)
		}, RebindRow, 0, ""},
		{"row deleted during the call", func(c *Claim) ClaimAction {
			boundAndRefused(c)
			a := c.Rebind(at(3), second)
			a = c.WriteFailed(at(4), a.Op, StoreConflict)
			return c.ReadDone(at(5), a.Op, nil, 0, false)
		}, ClaimFailed, result.TableOutcome, result.Unknown},
		// Symptom: a call runs after its caller was told that it failed. Sequence: the
		// entry is paused between the insert and the offer. Cause: the time is not
		// looked at again. Another try may have run the row's call meanwhile.
		{"paused claimant wakes late", func(c *Claim) ClaimAction {
			a := c.Start(at(0), first)
			return c.Written(at(61), a.Op, 5)
		}, ClaimFailed, result.DeadlinePassed, result.Unknown},
		// Symptom: two runs. Sequence: the insert's answer is late; the row, read back,
		// settles it; the agent refuses; the late answer comes while the rebinding is
		// under way. Cause: it is taken for the rebinding's answer.
		{"insert's answer comes during the rebinding", func(c *Claim) ClaimAction {
			insert := c.Start(at(0), first)
			a := c.WriteFailed(at(1), insert.Op, StoreLost)
			c.ReadDone(at(2), a.Op, rowOf("mine.1", 1, first), 5, true)
			c.Refused(at(3), result.QueueFull, result.NotRun)
			c.Rebind(at(4), second)
			return c.Written(at(5), insert.Op, 5)
		}, ClaimNone, 0, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := c.steps(newClaim())
			require.Equal(t, c.kind, a.Kind, "%+v", a)
			if c.kind == ClaimFailed {
				require.Equal(t, c.code, a.Err.Code)
				require.Equal(t, c.says, a.Err.Execution)
			}
		})
	}
}

// Symptom: a lost insert that is sent again writes twice, or under a name that the
// claimant does not know as its own.
// Sequence: insert, lost answer, absent row, insert again.
// Cause: the second insert has another token or another value than the first.
func TestInsertAgainKeepsItsToken(t *testing.T) {
	c := newClaim()
	a := c.Start(at(0), first)
	read := c.WriteFailed(at(1), a.Op, StoreLost)
	again := c.ReadDone(at(2), read.Op, nil, 0, false)
	require.Equal(t, a.Token, again.Token)
	require.Equal(t, a.Row, again.Row)
	require.Equal(t, a.Row.Writer, a.Token)
	require.Greater(t, again.Op, read.Op)
}

func TestRowNames(t *testing.T) {
	name := RowName("parts", "omuti", "job/7")
	require.Equal(t, "parts", ServiceOf(name))
	require.Len(t, name, len("parts/omuti/")+64)
	require.NotEqual(t, HashRequest("POST", "/a", []byte("b")), HashRequest("POST", "/ab", nil))
}

func TestSweep(t *testing.T) {
	row := Row{Expires: epoch}
	require.False(t, Sweepable(&row, epoch.Add(SweepMargin)))
	require.True(t, Sweepable(&row, epoch.Add(SweepMargin+time.Second)))
	require.Equal(t, Sweeper("parts", []string{"e1", "e2", "e3"}), Sweeper("parts", []string{"e3", "e2", "e1"}))
	require.Empty(t, Sweeper("parts", nil))
}

func FuzzDecodeRow(f *testing.F) {
	f.Add(rowOf("w", 1, first))
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
