package server

import (
	"context"
	"math"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/routing"
	"acaciacleat.example/peers/link"
)

// memory is the agent's book of its engine's KV cache, in tokens. It belongs to Server.mu.
type memory struct {
	capacity int64
	used     int64
}

// assumedCapacity stands until the engine's first report; it lets requests of ordinary
// length through.
const assumedCapacity = call.MediumMax

func (m *memory) init(bounded bool) {
	m.capacity = math.MaxInt64 / 2
	if bounded {
		m.capacity = assumedCapacity
	}
}

func (m *memory) couldHold(work call.Work) bool { return int64(work.Tokens()) <= m.capacity }
func (m *memory) free() int64                   { return m.capacity - m.used }
func (m *memory) take(work call.Work)           { m.used += int64(work.Tokens()) }
func (m *memory) give(work call.Work)           { m.used -= int64(work.Tokens()) }

// loadBook counts what the agent has in hand. It belongs to Server.mu.
type loadBook struct {
	load routing.Load
}

func (b *loadBook) queued(work call.Work, sign int64) {
	b.load.QueuedPrompt[call.ClassOf(work.PromptTokens)] += sign * int64(work.PromptTokens)
	b.load.QueuedCalls += int32(sign)
}

func (b *loadBook) running(work call.Work, sign int64) {
	b.load.RunningPrompt[call.ClassOf(work.PromptTokens)] += sign * int64(work.PromptTokens)
	b.load.RunningCalls += int32(sign)
}

// rateWeight is the weight of one more measurement of the prefill rate.
const rateWeight = 0.1

// minRatePrompt is the least prompt, in tokens, whose prefill time tells a rate.
const minRatePrompt = 2000

func (b *loadBook) prefilled(work call.Work, took time.Duration) {
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
	s.load.load.FreeTokens = s.memory.free()
	s.load.load.CapacityTokens = s.memory.capacity
	return link.LoadReport{
		Agent:       s.config.VM,
		Incarnation: s.config.Incarnation,
		Model:       s.model,
		Leaving:     s.leaving,
		Load:        s.load.load,
		Revision:    s.revision,
	}
}

// Watch reads the engine's reports until ctx ends. It returns after the first report at
// the latest when ctx ends.
func (s *Server) Watch(ctx context.Context, every time.Duration) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		s.readReport(ctx, every)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Server) readReport(ctx context.Context, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	report, err := s.config.Engine.Report(ctx)
	if s.config.Placement != nil {
		s.config.Placement.Reported(time.Now(), report, err)
	}
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.memory.capacity = report.CapacityTokens
	s.model = report.Model
}
