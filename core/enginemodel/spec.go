// Package enginemodel predicts how long an engine takes to read a prompt and what that
// does to the streams that it is writing, from the figures that its service publishes.
//
// An engine works in passes. A pass with streams that are being written runs Stride
// steps, and each step may read up to Chunk prompt tokens besides. So a long prompt
// stretches the pauses of every stream beside it, which is what makes short requests late.
package enginemodel

import "time"

// Spec holds the published figures of an engine.
type Spec struct {
	// Slots is the number of requests that run at once.
	Slots int
	// MemoryTokens is the number of tokens that fit into the engine's memory.
	MemoryTokens int
	// Stride is the number of steps in a pass with streams, and of tokens in an event.
	Stride int
	// Step is the time of one step without any request.
	Step time.Duration
	// PerStream is added to a step for each stream that is being written.
	PerStream time.Duration
	// PerContextToken is added to a step for each token of context of these streams, in
	// nanoseconds.
	PerContextToken float64
	// ReadRate is the number of prompt tokens read in a second.
	ReadRate float64
	// PerPair is the time for one pair of a prompt token and any earlier one, in
	// nanoseconds.
	PerPair float64
	// Chunk is the number of prompt tokens that one step reads at the most.
	Chunk int
	// Hop is added to each step of a stream whose prompt lies at several engines.
	Hop time.Duration
	// ReportLag is the age of an engine's report as others see it.
	ReportLag time.Duration
	// UsualPrompt and UsualAnswer are mean token counts.
	UsualPrompt int
	UsualAnswer int
}

// Read returns the time that one engine needs to read a prompt alone: for each token,
// and for each pair of a token and an earlier one.
func (s *Spec) Read(promptTokens int) time.Duration {
	if s.ReadRate <= 0 {
		return 0
	}
	n := float64(promptTokens)
	linear := n / s.ReadRate * float64(time.Second)
	pairs := n * n / 2 * s.PerPair
	steps := time.Duration(0)
	if s.Chunk > 0 {
		steps = s.Step * time.Duration((promptTokens+s.Chunk-1)/s.Chunk)
	}
	return time.Duration(linear+pairs) + steps
}

// Pause returns the time of a pass that writes streams with the given context in all and
// reads nothing: the shortest pause between two events of one of these streams.
func (s *Spec) Pause(streams, contextTokens int) time.Duration {
	step := s.Step + s.PerStream*time.Duration(streams) + time.Duration(s.PerContextToken*float64(contextTokens))
	return step * time.Duration(max(s.Stride, 1))
}

// Write returns the time to write tokens beside other streams, with nothing read.
func (s *Spec) Write(tokens, streams, contextTokens int) time.Duration {
	stride := max(s.Stride, 1)
	passes := (tokens + stride - 1) / stride
	return s.Pause(streams, contextTokens) * time.Duration(passes)
}
