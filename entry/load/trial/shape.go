// Package trial runs load against deployments of its own, in the same process, one after
// another: policies in turn, each with the same requests.
package trial

import (
	"time"

	"acaciacleat.example/core/document"
	"acaciacleat.example/entry/load/mix"
	standinengine "acaciacleat.example/standin/engine"
)

// Shape is the size of a deployment and what it weighs most.
type Shape struct {
	Engines   int
	Plains    int
	Entries   int
	Zones     []string
	Objective document.Objective
}

// The shapes of the deployments that the project has users of.
var (
	FaixaVerde = Shape{
		Engines:   14,
		Plains:    3,
		Entries:   3,
		Zones:     []string{"cwb-a", "cwb-b", "poa-c"},
		Objective: document.TimeToFirstToken,
	}
	Omuti = Shape{
		Engines:   18,
		Plains:    3,
		Entries:   3,
		Zones:     []string{"walvis-hall", "swakop-hall", "arandis-hall"},
		Objective: document.ShortSlowdown,
	}
)

// Shapes are the known shapes by their names on the command line.
var Shapes = map[string]Shape{"faixa-verde": FaixaVerde, "omuti": Omuti}

// Engine returns a stand-in engine that prefills and decodes speed times faster than
// the usual one.
func Engine(speed float64) standinengine.Config {
	faster := func(d time.Duration) time.Duration { return time.Duration(float64(d) / speed) }
	return standinengine.Config{
		EngineTokens: standinengine.DefaultEngineTokens,
		PrefillRate:  standinengine.DefaultPrefillRate * speed,
		DecodeStep:   faster(standinengine.DefaultDecodeStep),
		DecodePerSeq: faster(standinengine.DefaultDecodePerSeq),
		MaxBatch:     standinengine.DefaultMaxBatch,
	}
}

// Rate returns the requests per second, plain calls included, that offer the given load:
// the share of the engines' time that the generations of the mix need.
//
// A prompt token takes the inverse of the prefill rate. An answer token takes its part
// of a decode step, which as many requests share as fit into an engine's memory. Nothing
// is taken off for prompt tokens that a prefix cache holds.
func Rate(m *mix.Mix, engines int, e standinengine.Config, load float64) float64 {
	prompt, answer := m.MeanTokens()
	batch := min(max(float64(e.EngineTokens)/(prompt+answer), 1), float64(e.MaxBatch))
	decode := e.DecodeStep.Seconds()/batch + e.DecodePerSeq.Seconds()
	seconds := prompt/e.PrefillRate + answer*decode
	return load * float64(engines) / seconds / (1 - m.Plain.Share)
}
