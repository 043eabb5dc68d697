// Package call defines the basic types that describe a call: its identity, its length
// class and its size in tokens.
package call

import (
	"encoding/hex"
	"time"

	"github.com/pkg/errors"
)

// ID identifies one admitted request, through all of its attempts.
type ID [16]byte

// String returns the ID as 32 hexadecimal digits, as in X-Request-Id.
func (id ID) String() string { return hex.EncodeToString(id[:]) }

// ParseID parses the format that ID.String writes.
func ParseID(s string) (ID, error) {
	var id ID
	if len(s) != 2*len(id) {
		return id, errors.Errorf("request id %q: want %d hexadecimal digits", s, 2*len(id))
	}
	if _, err := hex.Decode(id[:], []byte(s)); err != nil {
		return id, errors.Wrapf(err, "request id %q", s)
	}
	return id, nil
}

// Incarnation identifies one run of one process; a restart makes a new one. It is random
// and never zero.
type Incarnation uint64

// Attempt numbers the attempts of a call, from 1. Frames of an earlier attempt are stale.
type Attempt uint32

// Class is a length class of prompts, by prompt tokens.
type Class uint8

// The length classes and their upper bounds in prompt tokens.
const (
	Short  Class = iota // up to ShortMax
	Medium              // up to MediumMax
	Long                // up to LongMax
	Huge                // above LongMax: may need more than one engine's memory
	NumClasses
)

// Upper bounds of the classes in prompt tokens. About 2 % of prompts exceed MediumMax.
const (
	ShortMax  = 8_000
	MediumMax = 100_000
	LongMax   = 400_000
)

// ClassOf returns the class of a prompt of the given number of tokens.
func ClassOf(promptTokens int) Class {
	switch {
	case promptTokens <= ShortMax:
		return Short
	case promptTokens <= MediumMax:
		return Medium
	case promptTokens <= LongMax:
		return Long
	default:
		return Huge
	}
}

var classNames = [NumClasses]string{"short", "medium", "long", "huge"}

// String returns the name of the class as used in reports and documents.
func (c Class) String() string {
	if c >= NumClasses {
		return "unknown"
	}
	return classNames[c]
}

// ParseClass parses the format that Class.String writes.
func ParseClass(s string) (Class, bool) {
	for i, name := range classNames {
		if name == s {
			return Class(i), true
		}
	}
	return 0, false
}

// TokenDemand is the number of tokens that a generation request needs.
type TokenDemand struct {
	PromptTokens int
	MaxTokens    int
}

// Tokens returns the largest KV cache size that the request needs, in tokens.
func (d TokenDemand) Tokens() int { return d.PromptTokens + d.MaxTokens }

// Remaining returns the time left at now until the deadline, never negative. Processes
// pass the time left and not a wall-clock time, because the clocks of two VMs differ.
func Remaining(deadline, now time.Time) time.Duration {
	left := deadline.Sub(now)
	if left < 0 {
		return 0
	}
	return left
}
