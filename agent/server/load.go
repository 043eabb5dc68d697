package server

import (
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/routing"
	"acaciacleat.example/peers/link"
)

// loadBook counts what the agent has in hand. It belongs to Server.mu.
type loadBook struct {
	load routing.Load
}

func (b *loadBook) queued(work call.TokenDemand, sign int64) {
	b.load.QueuedPrompt[call.ClassOf(work.PromptTokens)] += sign * int64(work.PromptTokens)
	b.load.QueuedCalls += int32(sign)
}

func (b *loadBook) running(work call.TokenDemand, sign int64) {
	b.load.RunningPrompt[call.ClassOf(work.PromptTokens)] += sign * int64(work.PromptTokens)
}

// rateWeight is the weight of one more measurement of the prefill rate.
const rateWeight = 0.1

// minRatePrompt is the least prompt, in tokens, whose prefill time tells a rate.
const minRatePrompt = 2000

func (b *loadBook) prefilled(work call.TokenDemand, took time.Duration) {
	if work.PromptTokens < minRatePrompt || took <= 0 {
		return
	}
	rate := float64(work.PromptTokens) / took.Seconds()
	if b.load.PrefillRate == 0 {
		b.load.PrefillRate = rate
	}
	b.load.PrefillRate += rateWeight * (rate - b.load.PrefillRate)
}

// report makes the digest that travels with replies. It is called with mu held.
func (s *Server) report() link.LoadReport {
	s.load.load.Sequence++
	s.load.load.Down = s.engineDown()
	s.load.load.FreeTokens = s.memory.Free()
	s.load.load.CapacityTokens = s.memory.Capacity()
	return link.LoadReport{
		Agent:       s.config.VM,
		Incarnation: s.config.Incarnation,
		Model:       s.model,
		Leaving:     s.leaving,
		Load:        s.load.load,
		Revision:    s.revision,
	}
}
