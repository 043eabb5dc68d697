// Package settings defines and parses the settings of an entry.
package settings

import (
	"acaciacleat.example/core/footprint"
	"acaciacleat.example/entry/front"
	"acaciacleat.example/peers/settings"
)

// Settings are the settings of one entry. Package peers/settings defines the parts that agents
// share.
type Settings struct {
	// VM identifies the VM that the entry runs on.
	VM settings.VM `json:"vm"`
	// Callers is the address for callers. Required.
	Callers Server `json:"callers"`
	// Operators is the address for operators, where the load balancer polls /readyz. It does not
	// require a key, so it must be reachable for operators only. Required.
	Operators Server `json:"operators"`
	// Link is the entry's end of links to agents.
	Link settings.Link `json:"link"`
	// Platform holds the base URLs of the platform's services.
	Platform settings.Platform `json:"platform"`
	// Routing sets how upstreams are chosen.
	Routing Routing `json:"routing"`
	// Quarantine sets when requests that crash upstreams are held back.
	Quarantine Quarantine `json:"quarantine"`
	// Limits bounds the memory that requests may use.
	Limits Limits `json:"limits"`
	// Drain bounds a graceful shutdown.
	Drain Drain `json:"drain"`
	// Log sets what is logged.
	Log settings.Log `json:"log"`
	// Trace sets where spans are exported.
	Trace settings.Trace `json:"trace"`
}

// Server is one HTTP address.
type Server struct {
	// Listen is the IP address and port; port 0 chooses a free one.
	Listen string `json:"listen" validate:"ipport"`
	// TLS names the files of the certificate. Default: none, served without TLS.
	TLS settings.TLS `json:"tls"`
}

// Routing sets how upstreams are chosen.
type Routing struct {
	// Policy is combined, or one of the simpler policies for comparison: naive, least-loaded,
	// power-of-two, prefix-only. Default combined.
	Policy string `json:"policy" validate:"oneof=naive least-loaded power-of-two prefix-only combined"`
}

// Limits bounds the memory that requests may use.
type Limits struct {
	// BodyBytes bounds the body of one request. A prompt of a million tokens has 4 to 7 MB.
	// Default 16777216 (16 MiB).
	BodyBytes int `json:"bodyBytes" validate:"gte=1024,lte=1073741824"`
	// WholeAnswerBytes bounds an answer that is not streamed. Default 8388608 (8 MiB).
	WholeAnswerBytes int `json:"wholeAnswerBytes" validate:"gte=1024,lte=1073741824"`
	// BodiesBytes bounds what callers' connections and requests hold together, with their bodies.
	// Default 536870912 (512 MiB).
	BodiesBytes int `json:"bodiesBytes" validate:"gte=1024"`
	// MemoryMb is the memory that the process may use, in MiB; 0 means no limit. Callers hold three tenths of it at
	// the most, operators a tenth. Default 0.
	MemoryMb float64 `json:"memoryMb" validate:"gte=0"`
	// Descriptors is the number of descriptors that the process may open; 0 means as many as its
	// resource limit says. Callers' connections get half of them, less 200 for other uses. Default 0.
	Descriptors int `json:"descriptors" validate:"eq=0|gte=256"`
}

// Drain bounds a graceful shutdown, which SIGTERM or SIGINT starts; a second signal ends the
// process at once.
type Drain struct {
	// ReadyOffMs is the time between the first answer "not ready" at /readyz and the end of the
	// listener for callers. Requests are still accepted during it, so it must be at least the
	// time that the load balancer needs to notice. Default 5000.
	ReadyOffMs int `json:"readyOffMs" validate:"gte=0,lte=600000"`
	// LimitMs is the time in which requests in flight may finish, including ReadyOffMs;
	// those that have not finished by then are cancelled. Default 600000 (10 minutes).
	LimitMs int `json:"limitMs" validate:"gte=0,lte=86400000"`
}

// DefaultReadyOffMs suits a load balancer that polls /readyz every one or two seconds.
const DefaultReadyOffMs = 5_000

// Default returns the default settings; required settings are empty.
func Default() *Settings {
	return &Settings{
		Platform: settings.DefaultPlatform,
		Routing:  Routing{Policy: "combined"},

		Quarantine: DefaultQuarantine,

		Limits: Limits{
			BodyBytes:        int(front.DefaultLimits.BodyBytes),
			WholeAnswerBytes: front.DefaultLimits.WholeAnswerBytes,
			BodiesBytes:      defaultClientBytes,
		},
		Drain: Drain{ReadyOffMs: DefaultReadyOffMs, LimitMs: settings.DefaultDrainMs},
		Log:   settings.DefaultLog,
		Trace: settings.DefaultTrace,
	}
}

// Parse parses settings strictly and returns all faults at once; the settings are nil if there is
// any fault.
func Parse(data []byte) (*Settings, []settings.Fault) {
	s := Default()
	if faults := settings.Parse(data, s, checkConsistency); len(faults) > 0 {
		return nil, faults
	}
	return s, nil
}

func checkConsistency(s *Settings) []settings.Fault {
	faults := s.Link.Check("$.link")
	faults = append(faults, s.Callers.TLS.Check("$.callers.tls")...)
	faults = append(faults, s.Operators.TLS.Check("$.operators.tls")...)
	faults = append(faults, s.Trace.Check("$.trace")...)
	faults = append(faults, settings.AtMost("$.limits.bodyBytes", s.Limits.BodyBytes, "bodiesBytes", s.Limits.BodiesBytes)...)
	faults = append(faults, settings.AtMost("$.limits.bodyBytes", s.Limits.BodyBytes, "a fifth of what callers may hold", int(s.Limits.Footprint().Bytes/wholeBodies))...)
	return append(faults, settings.AtMost("$.drain.readyOffMs", s.Drain.ReadyOffMs, "limitMs", s.Drain.LimitMs)...)
}

// FrontLimits returns the limits for the front.
func (l Limits) FrontLimits() front.Limits {
	return front.Limits{
		BodyBytes:        int64(l.BodyBytes),
		WholeAnswerBytes: l.WholeAnswerBytes,
	}
}

// wholeBodies is the number of times that the largest body must fit into what callers may hold, so that one can be served
// with the copies that it needs.
const wholeBodies = 5

// Footprint returns the bounds on what callers' connections and requests hold.
func (l Limits) Footprint() footprint.Limits {
	return clientFootprint(l.MemoryMb, int64(l.BodiesBytes), l.Descriptors)
}

// OperatorFootprint returns the bounds on what operators' connections and requests hold.
func (l Limits) OperatorFootprint() footprint.Limits { return operatorFootprint(l.MemoryMb) }
