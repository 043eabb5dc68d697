// Package settings holds the settings of an agent.
package settings

import (
	"acaciacleat.example/agent/server"
	"acaciacleat.example/core/strictjson"
	"acaciacleat.example/peers/settings"
)

// Settings are the settings of one agent; see package peers/settings for the parts that
// entries have too.
type Settings struct {
	// VM tells where the agent runs.
	VM settings.VM `json:"vm"`
	// Link is the agent's end of links.
	Link settings.Link `json:"link"`
	// Upstream is the engine or plain service beside the agent.
	Upstream Upstream `json:"upstream"`
	// Platform holds the base URLs of the platform's services.
	Platform settings.Platform `json:"platform"`
	// Limits bounds what the agent holds.
	Limits Limits `json:"limits"`
	// Metrics says where health and variables are served.
	Metrics Metrics `json:"metrics"`
	// Drain bounds a planned stop.
	Drain Drain `json:"drain"`
	// Log says what is logged.
	Log settings.Log `json:"log"`
	// Trace says where spans go.
	Trace settings.Trace `json:"trace"`
}

// The kinds of upstream.
const (
	KindEngine = "engine"
	KindPlain  = "plain"
)

// Upstream is the one upstream that the agent stands beside.
type Upstream struct {
	// Kind is engine or plain. Required.
	Kind string `json:"kind" validate:"oneof=engine plain"`
	// Service is the name of the service's document. Required.
	Service string `json:"service" validate:"servicename"`
	// Model is the model that the engine serves; engines only, and required for them.
	Model string `json:"model"`
	// URL is the upstream's base URL. Other agents of a group that shares a long prompt
	// are told it too, so it names the VM's own IP address. Required.
	URL string `json:"url" validate:"baseurl"`
}

// Limits bounds what the agent holds.
type Limits struct {
	// Queue is the largest number of calls in hand: those whose body is arriving, that wait,
	// run, or whose answer is still being read. Default 10000.
	Queue int `json:"queue" validate:"gte=1,lte=1000000"`
	// Running is the largest number of calls at the upstream at once. Default 256.
	Running int `json:"running" validate:"gte=1,lte=100000"`
	// StreamBytes bounds what is kept of one answer until its entry has acknowledged it.
	// Default 65536 (64 KiB).
	StreamBytes int `json:"streamBytes" validate:"gte=1024,lte=1073741824"`
	// KeptBytes bounds the answer of a non-repeatable call that is kept for a repeat with
	// the same Idempotency-Key. Default 1048576 (1 MiB).
	KeptBytes int `json:"keptBytes" validate:"gte=1024,lte=1073741824"`
	// BodyBytes bounds one call's body. Default 33554432 (32 MiB).
	BodyBytes int `json:"bodyBytes" validate:"gte=1024,lte=1073741824"`
	// DetachedMs is how long an answer waits for its entry to resume on a new link.
	// Default 5000.
	DetachedMs int `json:"detachedMs" validate:"gte=1,lte=600000"`
}

// Metrics says where health and variables are served.
type Metrics struct {
	// Listen is the IP address and port for operators; port 0 chooses a free one. Without
	// it nothing is served.
	Listen string `json:"listen" validate:"omitempty,ipport"`
}

// Drain bounds a planned stop, which SIGTERM or SIGINT begins; a second signal ends the
// process at once.
type Drain struct {
	// LimitMs is the time in which calls in hand may finish; those that have not are cut
	// off. Default 600000 (10 minutes).
	LimitMs int `json:"limitMs" validate:"gte=0,lte=86400000"`
}

// Default returns the settings with every default and without what is required.
func Default() *Settings {
	limits := server.DefaultLimits
	return &Settings{
		Platform: settings.DefaultPlatform,
		Limits: Limits{
			Queue:       limits.Queue,
			Running:     limits.Running,
			StreamBytes: limits.StreamBytes,
			KeptBytes:   limits.KeptBytes,
			BodyBytes:   limits.BodyBytes,
			DetachedMs:  int(limits.Detached.Milliseconds()),
		},
		Drain: Drain{LimitMs: settings.DefaultDrainMs},
		Log:   settings.DefaultLog,
		Trace: settings.DefaultTrace,
	}
}

// Parse reads settings strictly and returns all faults at once; the settings are nil
// when there is any.
func Parse(data []byte) (*Settings, []settings.Fault) {
	s := Default()
	if faults := settings.Parse(data, s, together); len(faults) > 0 {
		return nil, faults
	}
	return s, nil
}

func together(s *Settings) []settings.Fault {
	faults := s.Link.Check("$.link")
	faults = append(faults, s.Upstream.check("$.upstream")...)
	return append(faults, s.Trace.Check("$.trace")...)
}

func (u Upstream) check(path string) []settings.Fault {
	switch {
	case u.Kind == KindEngine && u.Model == "":
		return []settings.Fault{strictjson.NewFault(path+".model", "", "the model's name, as the kind is engine", "Name the model as the service's document does.")}
	case u.Kind == KindPlain && u.Model != "":
		return []settings.Fault{strictjson.NewFault(path+".model", u.Model, "nothing for a plain service", "Remove it or make the kind engine.")}
	}
	return nil
}

// ServerLimits returns the limits for the server.
func (l Limits) ServerLimits() server.Limits {
	limits := server.DefaultLimits
	limits.Queue = l.Queue
	limits.Running = l.Running
	limits.StreamBytes = l.StreamBytes
	limits.KeptBytes = l.KeptBytes
	limits.BodyBytes = l.BodyBytes
	limits.Detached = settings.Milliseconds(l.DetachedMs)
	return limits
}
