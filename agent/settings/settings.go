// Package settings holds the settings of an agent.
package settings

import (
	"acaciacleat.example/agent/server"
	"acaciacleat.example/core/strictjson"
	"acaciacleat.example/peers/settings"
)

// Settings are the settings of one agent. Package peers/settings defines the parts that
// entries have as well.
type Settings struct {
	// VM identifies the VM on which the agent runs.
	VM settings.VM `json:"vm"`
	// Link configures the agent's side of links.
	Link settings.Link `json:"link"`
	// Upstream is the engine or plain service beside the agent.
	Upstream Upstream `json:"upstream"`
	// Platform holds the base URLs of the platform's services.
	Platform settings.Platform `json:"platform"`
	// Limits bounds the calls and the memory of the agent.
	Limits Limits `json:"limits"`
	// Metrics configures the endpoint for health checks and variables.
	Metrics Metrics `json:"metrics"`
	// Drain configures graceful stops.
	Drain Drain `json:"drain"`
	// Log configures the log.
	Log settings.Log `json:"log"`
	// Trace configures the export of spans.
	Trace settings.Trace `json:"trace"`
}

// The kinds of upstream.
const (
	KindEngine = "engine"
	KindPlain  = "plain"
)

// Upstream is the one upstream that the agent serves.
type Upstream struct {
	// Kind is engine or plain. Required.
	Kind string `json:"kind" validate:"oneof=engine plain"`
	// Service is the name of the service's document. Required.
	Service string `json:"service" validate:"servicename"`
	// Model is the model that the engine serves; engines only, and required for them.
	Model string `json:"model"`
	// URL is the upstream's base URL. Other agents of a group that shares a long prompt
	// receive it as well, so it must contain the VM's own IP address. Required.
	URL string `json:"url" validate:"baseurl"`
}

// Limits bounds the calls and the memory of the agent.
type Limits struct {
	// Queue is the maximum number of calls in flight: those whose body is being received, that
	// are queued or running, or whose answer is still being read. Default 10000.
	Queue int `json:"queue" validate:"gte=1,lte=1000000"`
	// Running is the maximum number of concurrent calls at the upstream. Default 256.
	Running int `json:"running" validate:"gte=1,lte=100000"`
	// StreamBytes bounds the unacknowledged bytes of one answer per entry.
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

// Metrics configures the endpoint for health checks and variables.
type Metrics struct {
	// Listen is the IP address and port for operators; port 0 chooses a free port. If it is
	// empty, there is no endpoint.
	Listen string `json:"listen" validate:"omitempty,ipport"`
}

// Drain configures graceful stops, which SIGTERM or SIGINT begins. A second signal stops the
// process at once.
type Drain struct {
	// LimitMs is how long a stop waits for the calls in flight to end; it then cancels the
	// rest. Default 600000 (10 minutes).
	LimitMs int `json:"limitMs" validate:"gte=0,lte=86400000"`
}

// Default returns the default settings, in which the required ones are not set.
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

// Parse parses settings strictly and returns all faults at once. The settings are nil if
// there is any fault.
func Parse(data []byte) (*Settings, []settings.Fault) {
	s := Default()
	if faults := settings.Parse(data, s, checkCombinations); len(faults) > 0 {
		return nil, faults
	}
	return s, nil
}

// checkCombinations checks settings that depend on each other.
func checkCombinations(s *Settings) []settings.Fault {
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

// ServerLimits converts the limits to those of the server.
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
