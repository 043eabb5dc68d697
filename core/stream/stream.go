// Package stream carries an answer from an agent to an entry whole and in order
// over links that may break, repeat or fall silent.
//
// The agent's Sender keeps each frame until it is acknowledged. The entry's Receiver
// hands out frames once and in order. Neither does any I/O.
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
