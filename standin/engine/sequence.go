package engine

import (
	"sync/atomic"

	peer "acaciacleat.example/peers/engine"
)

// sequence is one run of a request. Unless noted otherwise, fields are guarded by Engine.mu.
type sequence struct {
	// Set at submission, then constant.
	id              string
	runID           string
	priority        int
	arrival         uint64
	answer          answer
	model           string
	blocks          []uint64
	promptTokens    int
	deliveredTokens int // tokens delivered by earlier runs
	answerTokens    int // length of the whole answer
	finishReason    string
	memoryTokens    int64 // tokens of memory on this engine while it runs
	groupSize       int   // number of engines that prefill the prompt

	running         bool
	started         bool
	cachedTokens    int // prompt tokens found in the prefix cache
	prefilledTokens int
	prefillTarget   int
	end             *outcome

	// produced and ended are also read by the handler without the lock.
	produced atomic.Int64
	ended    atomic.Pointer[outcome]
	// wake has capacity for one signal that the sequence has changed.
	wake chan struct{}
}

// outcome is how a sequence ended; an empty kind means success.
type outcome struct {
	kind    string
	message string
	usage   peer.Usage
}

var (
	cancelled        = outcome{kind: typeCancelled, message: "the request was cancelled"}
	deadlineExceeded = outcome{kind: peer.TypeDeadline, message: "the request's time passed"}
	memberLost       = outcome{kind: peer.TypeFailed, message: "a group member lost the reservation"}
	engineClosed     = outcome{kind: peer.TypeFailed, message: "the engine stopped"}
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

func (s *sequence) decoding() bool { return s.prefilledTokens >= s.prefillTarget }

func (s *sequence) usage() peer.Usage {
	return peer.Usage{
		PromptTokens:     s.promptTokens,
		CachedTokens:     s.cachedTokens,
		CompletionTokens: int(s.produced.Load()),
	}
}
