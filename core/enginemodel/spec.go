// Package enginemodel predicts how long an engine takes to prefill a prompt, and how that
// delays the streams that it decodes, from the figures that its service publishes.
//
// An engine works in passes. A pass with streams runs Stride steps, and each step may also
// prefill up to Chunk prompt tokens. So a long prompt stretches the pauses of every stream
// beside it, which is what makes short requests late.
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
	// PerStream is added to a step for each stream that is decoded.
	PerStream time.Duration
	// PerContextToken is added to a step for each context token of these streams, in
	// nanoseconds.
	PerContextToken float64
	// PrefillRate is the number of prompt tokens prefilled per second.
	PrefillRate float64
	// PerPair is the prefill time for each pair of a prompt token and an earlier one, in
	// nanoseconds.
	PerPair float64
	// Chunk is the most prompt tokens that one step prefills.
	Chunk int
	// Hop is added to each step of a stream whose prompt is split over several engines.
	Hop time.Duration
	// ReportLag is the age of an engine's report when others receive it.
	ReportLag time.Duration
	// MeanPromptTokens and MeanAnswerTokens are mean token counts.
	MeanPromptTokens int
	MeanAnswerTokens int
}

// Read returns the time that one engine without other requests needs to prefill a prompt. It
// has a term for each token and one for each pair of a token and an earlier one.
func (s *Spec) Read(promptTokens int) time.Duration {
	if s.PrefillRate <= 0 {
		return 0
	}
	n := float64(promptTokens)
	linear := n / s.PrefillRate * float64(time.Second)
	pairs := n * n / 2 * s.PerPair
	steps := time.Duration(0)
	if s.Chunk > 0 {
		steps = s.Step * time.Duration((promptTokens+s.Chunk-1)/s.Chunk)
	}
	return time.Duration(linear+pairs) + steps
}

// PassTime returns the time of a pass without prefill that decodes streams with the given total
// context: the shortest pause between two events of one of these streams.
func (s *Spec) PassTime(streams, contextTokens int) time.Duration {
	step := s.Step + s.PerStream*time.Duration(streams) + time.Duration(s.PerContextToken*float64(contextTokens))
	return step * time.Duration(max(s.Stride, 1))
}

// Write returns the time to decode tokens beside other streams, without prefill.
func (s *Spec) Write(tokens, streams, contextTokens int) time.Duration {
	stride := max(s.Stride, 1)
	passes := (tokens + stride - 1) / stride
	return s.PassTime(streams, contextTokens) * time.Duration(passes)
}
