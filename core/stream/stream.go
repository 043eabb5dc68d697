// Package stream transfers an answer from an agent to an entry, complete and in order,
// over links that may break, go silent or deliver frames more than once.
//
// The agent's Sender buffers each frame until it is acknowledged. The entry's Receiver
// hands out each frame once and in order. Neither does any I/O.
package stream

import "acaciacleat.example/core/call"

// Frame is one piece of an answer. Sequence numbers start at 1 and have no gaps.
type Frame struct {
	Attempt call.Attempt
	Seq     uint64
	// Tokens is the number of generated tokens in Data; 0 for a plain service's body.
	Tokens uint32
	Data   []byte
}
