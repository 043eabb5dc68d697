package server

import (
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/routing"
	"acaciacleat.example/peers/link"
)

// loadCounters counts the agent's queued and running work. It is guarded by Server.mu.
type loadCounters struct {
	load routing.Load
}

// addQueued counts a call that enters the queue, with sign 1, or leaves it, with sign -1.
func (c *loadCounters) addQueued(demand call.TokenDemand, sign int64) {
	c.load.QueuedPrompt[call.ClassOf(demand.PromptTokens)] += sign * int64(demand.PromptTokens)
	c.load.QueuedCalls += int32(sign)
}

// addRunning adds a call's prompt to the prompts in prefill, with sign 1, or removes it, with
// sign -1.
func (c *loadCounters) addRunning(demand call.TokenDemand, sign int64) {
	c.load.RunningPrompt[call.ClassOf(demand.PromptTokens)] += sign * int64(demand.PromptTokens)
}

// rateWeight is the weight of a new sample in the moving average of the prefill rate.
const rateWeight = 0.1

// minRatePromptTokens is the minimum size of a prompt, in tokens, for its prefill time to
// count as a sample of the prefill rate.
const minRatePromptTokens = 2000

// recordPrefill adds a sample to the moving average of the prefill rate. It ignores short
// prompts.
func (c *loadCounters) recordPrefill(demand call.TokenDemand, took time.Duration) {
	if demand.PromptTokens < minRatePromptTokens || took <= 0 {
		return
	}
	rate := float64(demand.PromptTokens) / took.Seconds()
	if c.load.PrefillRate == 0 {
		c.load.PrefillRate = rate
	}
	c.load.PrefillRate += rateWeight * (rate - c.load.PrefillRate)
}

// report returns the agent's load digest and advances its sequence number. It is called
// with mu held.
func (s *Server) report() link.LoadReport {
	s.loadCounters.load.Sequence++
	s.loadCounters.load.Down = s.engineDown()
	s.loadCounters.load.FreeTokens = s.memory.Free()
	s.loadCounters.load.CapacityTokens = s.memory.Capacity()
	return link.LoadReport{
		Agent:       s.config.VM,
		Incarnation: s.config.Incarnation,
		Model:       s.model,
		Leaving:     s.leaving,
		Load:        s.loadCounters.load,
		Revision:    s.revision,
	}
}
