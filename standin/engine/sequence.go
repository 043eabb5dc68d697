package engine

import (
	"sync/atomic"

	peer "acaciacleat.example/peers/engine"
)

// sequence is one run of a request. Fields without a note are guarded by Engine.mu.
type sequence struct {
	// Fixed at submission.
	id       string
	run      string
	priority int
	arrival  uint64
	answer   answer
	model    string
	blocks   []uint64
	prompt   int
	start    int // tokens delivered before this run
	limit    int // length of the whole answer
	reason   string
	need     int64 // tokens of memory held here while it runs
	share    int   // engines that work on the prompt

	running   bool
	started   bool
	cached    int // prompt tokens found in the prefix cache
	prefilled int
	toPrefill int
	end       *outcome

	// produced and ended are also read by the handler, without the lock.
	produced atomic.Int64
	ended    atomic.Pointer[outcome]
	// wake has room for one signal: something changed.
	wake chan struct{}
}

// outcome is how a sequence ended; an empty kind is the regular end.
type outcome struct {
	kind    string
	message string
	usage   peer.Usage
}

var (
	cancelled    = outcome{kind: typeCancelled, message: "the request was cancelled"}
	deadlinePast = outcome{kind: peer.TypeDeadline, message: "the request's time passed"}
	memberLost   = outcome{kind: peer.TypeFailed, message: "a group member lost the reservation"}
	engineClosed = outcome{kind: peer.TypeFailed, message: "the engine stopped"}
)

const typeCancelled = "cancelled"

func (s *sequence) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// before orders the queue: lower priority numbers first, then by arrival.
func (s *sequence) before(other *sequence) bool {
	if s.priority != other.priority {
		return s.priority < other.priority
	}
	return s.arrival < other.arrival
}

func (s *sequence) decoding() bool { return s.prefilled >= s.toPrefill }

func (s *sequence) usage() peer.Usage {
	return peer.Usage{
		PromptTokens:     s.prompt,
		CachedTokens:     s.cached,
		CompletionTokens: int(s.produced.Load()),
	}
}
