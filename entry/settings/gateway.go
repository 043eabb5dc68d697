package settings

import (
	"time"

	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/core/quarantine"
	"acaciacleat.example/peers/settings"
)

// Gateway are the settings of an entry that calls upstreams itself and follows the routes
// and upstreams in a platform's store.
type Gateway struct {
	// VM tells where the entry runs.
	VM settings.VM `json:"vm"`
	// Callers is the address for callers. Required.
	Callers Address `json:"callers"`
	// Ready is the address that the balancer asks for /readyz. Required.
	Ready Address `json:"ready"`
	// Metrics is the address that serves /metrics as text. Required.
	Metrics Address `json:"metrics"`
	// Link is the address for links between entries. Required.
	Link Address `json:"link"`
	// Store is the platform's store.
	Store Store `json:"store"`
	// Routing says how upstreams are chosen.
	Routing GatewayRouting `json:"routing"`
	// Retries bounds the retries of all entries together.
	Retries Retries `json:"retries"`
	// Quarantine says when requests are held back under which upstreams crash.
	Quarantine Quarantine `json:"quarantine"`
	// Limits bounds what requests may hold in memory.
	Limits GatewayLimits `json:"limits"`
	// Drain bounds a planned stop.
	Drain GatewayDrain `json:"drain"`
	// Log says what is logged, as JSON lines on the standard output.
	Log settings.Log `json:"log"`
}

// Address is one address in clear.
type Address struct {
	// Listen is the IP address and port; port 0 chooses a free one.
	Listen string `json:"listen" validate:"ipport"`
}

// Store says where the platform's store is and how it is followed.
type Store struct {
	// Address is its IP address and port. Required.
	Address string `json:"address" validate:"ipport"`
	// TimeoutMs bounds a call that does not wait for a change. Default 1000.
	TimeoutMs int `json:"timeoutMs" validate:"gte=50,lte=60000"`
	// WaitMs is how long a call waits for a change. A connection that has gone silent shows
	// only after it, so it must be under the time in which a change must be in force.
	// Default 2400.
	WaitMs int `json:"waitMs" validate:"gte=50,lte=30000"`
}

// GatewayRouting says how upstreams are chosen.
type GatewayRouting struct {
	// Rule is predicted, or least-outstanding, which is kept for comparison. Default
	// predicted.
	Rule string `json:"rule" validate:"oneof=predicted least-outstanding"`
}

// Retries bounds the retries of all entries together: in any ten seconds they stay under
// Ratio times the requests of a service and Slack beyond it.
type Retries struct {
	// Ratio is the number of retries for each request. Default 0.1.
	Ratio float64 `json:"ratio" validate:"gte=0,lte=1"`
	// Slack is the number of retries beyond the ratio. Default 20.
	Slack float64 `json:"slack" validate:"gte=0,lte=100000"`
}

// Quarantine says when requests are held back under which upstreams crash, and for how long.
type Quarantine struct {
	// Crashes is the number of upstreams that must have crashed under a request. Default 3.
	Crashes int `json:"crashes" validate:"gte=2,lte=100"`
	// HoldS is how long a request is held back the first time, in seconds. Each further time it
	// is eight times as long. Default 3600.
	HoldS int `json:"holdS" validate:"gte=1,lte=2592000"`
}

// DefaultQuarantine has the decision's own defaults.
var DefaultQuarantine = Quarantine{
	Crashes: quarantine.DefaultSettings.MinCrashes,
	HoldS:   int(quarantine.DefaultSettings.Hold.Seconds()),
}

// Ledger returns the settings of the decision.
func (q Quarantine) Ledger() quarantine.Settings {
	return quarantine.Settings{MinCrashes: q.Crashes, Hold: time.Duration(q.HoldS) * time.Second}
}

// GatewayLimits bounds what requests may hold in memory.
type GatewayLimits struct {
	// BodyBytes bounds one request's body where the routes don't. Default 4194304 (4 MiB).
	BodyBytes int `json:"bodyBytes" validate:"gte=1024,lte=1073741824"`
	// MemoryMb is the memory that the process may use, in MiB; 0 means no bound. The
	// collector of garbage works harder near it. Default 0.
	MemoryMb float64 `json:"memoryMb" validate:"gte=0"`
}

// GatewayDrain bounds a planned stop, which SIGTERM or SIGINT begins.
type GatewayDrain struct {
	// ReadyOffMs is the time between the answer "not ready" and the end of the listener
	// for callers. Default 2500: a balancer that asks every second and needs two misses.
	ReadyOffMs int `json:"readyOffMs" validate:"gte=0,lte=600000"`
	// LimitS is the time in which requests in flight may finish, in seconds, ReadyOffMs
	// included. Default 8.
	LimitS float64 `json:"limitS" validate:"gte=0,lte=86400"`
}

// DefaultGateway returns the settings with every default and without what is required.
func DefaultGateway() *Gateway {
	return &Gateway{
		Store:   Store{TimeoutMs: 1000, WaitMs: 2400},
		Routing: GatewayRouting{Rule: string(dispatch.Predicted)},
		Retries: Retries{Ratio: 0.1, Slack: 20},

		Quarantine: DefaultQuarantine,
		Limits:     GatewayLimits{BodyBytes: 4 << 20},
		Drain:      GatewayDrain{ReadyOffMs: 2500, LimitS: 8},
		Log:        settings.DefaultLog,
	}
}

// ParseGateway reads settings strictly and returns all faults at once; the settings are
// nil when there is any.
func ParseGateway(data []byte) (*Gateway, []settings.Fault) {
	s := DefaultGateway()
	together := func(s *Gateway) []settings.Fault {
		return settings.AtMost("$.drain.readyOffMs", s.Drain.ReadyOffMs, "limitS in milliseconds", int(s.Drain.LimitS*1000))
	}
	if faults := settings.Parse(data, s, together); len(faults) > 0 {
		return nil, faults
	}
	return s, nil
}

// Limit returns the time of a planned stop.
func (d GatewayDrain) Limit() time.Duration { return time.Duration(d.LimitS * float64(time.Second)) }
