// Package trial runs load against in-process deployments, one after another, to compare policies
// under the same requests.
package trial

import (
	"time"

	"acaciacleat.example/core/document"
	"acaciacleat.example/entry/load/mix"
	standinengine "acaciacleat.example/standin/engine"
)

// Shape is the size of a deployment and the objective of its model service.
type Shape struct {
	Engines   int
	Plains    int
	Entries   int
	Zones     []string
	Objective document.Objective
}

// Shapes of the users' deployments.
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

// Shapes maps names on the command line to shapes.
var Shapes = map[string]Shape{"faixa-verde": FaixaVerde, "omuti": Omuti}

// EngineConfig returns the configuration of a stand-in engine that prefills and decodes speed times
// faster than the default.
func EngineConfig(speed float64) standinengine.Config {
	faster := func(d time.Duration) time.Duration { return time.Duration(float64(d) / speed) }
	return standinengine.Config{
		EngineTokens: standinengine.DefaultEngineTokens,
		PrefillRate:  standinengine.DefaultPrefillRate * speed,
		DecodeStep:   faster(standinengine.DefaultDecodeStep),
		DecodePerSeq: faster(standinengine.DefaultDecodePerSeq),
		MaxBatch:     standinengine.DefaultMaxBatch,
	}
}

// ArrivalRate returns the arrival rate in requests per second, calls of plain services included, at
// which the generations of the mix need the fraction load of the engines' time.
//
// A prompt token takes the inverse of the prefill rate. An answer token takes DecodePerSeq plus its
// share of a DecodeStep, in a batch of as many requests as fit into an engine's memory, at most
// MaxBatch. Prefix cache hits are not taken into account.
func ArrivalRate(m *mix.Mix, engines int, e standinengine.Config, load float64) float64 {
	prompt, answer := m.MeanTokens()
	batch := min(max(float64(e.EngineTokens)/(prompt+answer), 1), float64(e.MaxBatch))
	decode := e.DecodeStep.Seconds()/batch + e.DecodePerSeq.Seconds()
	seconds := prompt/e.PrefillRate + answer*decode
	return load * float64(engines) / seconds / (1 - m.Plain.Share)
}
