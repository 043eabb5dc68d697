// Package settings holds the settings of an entry.
package settings

import (
	"acaciacleat.example/entry/front"
	"acaciacleat.example/peers/settings"
)

// Settings are the settings of one entry; see package peers/settings for the parts that
// agents have too.
type Settings struct {
	// VM tells where the entry runs.
	VM settings.VM `json:"vm"`
	// Callers is the address for callers. Required.
	Callers Server `json:"callers"`
	// Operators is the address for operators, which the balancer asks for /readyz. It
	// asks for no key: make it reachable for operators alone. Required.
	Operators Server `json:"operators"`
	// Link is the entry's end of links to agents.
	Link settings.Link `json:"link"`
	// Platform holds the base URLs of the platform's services.
	Platform settings.Platform `json:"platform"`
	// Routing says how upstreams are chosen.
	Routing Routing `json:"routing"`
	// Quarantine says when requests are held back under which upstreams crash.
	Quarantine Quarantine `json:"quarantine"`
	// Limits bounds what requests may hold in memory.
	Limits Limits `json:"limits"`
	// Drain bounds a planned stop.
	Drain Drain `json:"drain"`
	// Log says what is logged.
	Log settings.Log `json:"log"`
	// Trace says where spans go.
	Trace settings.Trace `json:"trace"`
}

// Server is one HTTP address.
type Server struct {
	// Listen is the IP address and port; port 0 chooses a free one.
	Listen string `json:"listen" validate:"ipport"`
	// TLS names the certificate's files. Default: none, served in clear.
	TLS settings.TLS `json:"tls"`
}

// Routing says how upstreams are chosen.
type Routing struct {
	// Policy is combined, or one of the simpler ones kept for comparison: naive,
	// least-loaded, power-of-two, prefix-only. Default combined.
	Policy string `json:"policy" validate:"oneof=naive least-loaded power-of-two prefix-only combined"`
}

// Limits bounds what requests may hold in memory.
type Limits struct {
	// BodyBytes bounds one request's body. A prompt of a million tokens has 4 to 7 MB.
	// Default 16777216 (16 MiB).
	BodyBytes int `json:"bodyBytes" validate:"gte=1024,lte=1073741824"`
	// WholeAnswerBytes bounds an answer that is not streamed. Default 8388608 (8 MiB).
	WholeAnswerBytes int `json:"wholeAnswerBytes" validate:"gte=1024,lte=1073741824"`
	// BodiesBytes bounds the bodies of all requests at once. Default 536870912 (512 MiB).
	BodiesBytes int `json:"bodiesBytes" validate:"gte=1024"`
}

// Drain bounds a planned stop, which SIGTERM or SIGINT begins; a second signal ends the
// process at once.
type Drain struct {
	// ReadyOffMs is the time between the answer "not ready" at /readyz and the end of
	// the listener for callers, during which requests are still taken: at least the time
	// that the balancer needs to see it. Default 5000.
	ReadyOffMs int `json:"readyOffMs" validate:"gte=0,lte=600000"`
	// LimitMs is the time in which requests in flight may finish, ReadyOffMs included;
	// those that have not are cut off. Default 600000 (10 minutes).
	LimitMs int `json:"limitMs" validate:"gte=0,lte=86400000"`
}

// DefaultReadyOffMs suits a balancer that asks every second or two.
const DefaultReadyOffMs = 5_000

// Default returns the settings with every default and without what is required.
func Default() *Settings {
	return &Settings{
		Platform: settings.DefaultPlatform,
		Routing:  Routing{Policy: "combined"},

		Quarantine: DefaultQuarantine,

		Limits: Limits{
			BodyBytes:        int(front.DefaultLimits.BodyBytes),
			WholeAnswerBytes: front.DefaultLimits.WholeAnswerBytes,
			BodiesBytes:      int(front.DefaultLimits.BodiesBytes),
		},
		Drain: Drain{ReadyOffMs: DefaultReadyOffMs, LimitMs: settings.DefaultDrainMs},
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
	faults = append(faults, s.Callers.TLS.Check("$.callers.tls")...)
	faults = append(faults, s.Operators.TLS.Check("$.operators.tls")...)
	faults = append(faults, s.Trace.Check("$.trace")...)
	faults = append(faults, settings.AtMost("$.limits.bodyBytes", s.Limits.BodyBytes, "bodiesBytes", s.Limits.BodiesBytes)...)
	return append(faults, settings.AtMost("$.drain.readyOffMs", s.Drain.ReadyOffMs, "limitMs", s.Drain.LimitMs)...)
}

// FrontLimits returns the limits for the front.
func (l Limits) FrontLimits() front.Limits {
	return front.Limits{
		BodyBytes:        int64(l.BodyBytes),
		WholeAnswerBytes: l.WholeAnswerBytes,
		BodiesBytes:      int64(l.BodiesBytes),
	}
}
