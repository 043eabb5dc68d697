package settings

import (
	"time"

	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/core/footprint"
	"acaciacleat.example/core/quarantine"
	"acaciacleat.example/peers/settings"
)

// Gateway are the settings of an entry that calls upstreams directly and follows the routes and
// upstreams in the platform's store.
type Gateway struct {
	// VM identifies the VM that the entry runs on.
	VM settings.VM `json:"vm"`
	// FirstStart is set if all entries start for the first time. They then wait for each other instead
	// of reading the store at once. Default false.
	FirstStart bool `json:"firstStart"`
	// Callers is the address for callers. Required.
	Callers Address `json:"callers"`
	// Ready is the address where the load balancer polls /readyz. Required.
	Ready Address `json:"ready"`
	// Metrics is the address that serves /metrics in text format. Required.
	Metrics Address `json:"metrics"`
	// Link is the address for links between entries. Required.
	Link Address `json:"link"`
	// Store is the platform's store.
	Store Store `json:"store"`
	// Routing sets how upstreams are chosen.
	Routing GatewayRouting `json:"routing"`
	// Retries limits the retries of all entries together.
	Retries Retries `json:"retries"`
	// Quarantine sets when requests that crash upstreams are held back.
	Quarantine Quarantine `json:"quarantine"`
	// Limits bounds the memory that requests may use.
	Limits GatewayLimits `json:"limits"`
	// Drain bounds a graceful shutdown.
	Drain GatewayDrain `json:"drain"`
	// Log sets what is logged, as JSON lines on standard output.
	Log settings.Log `json:"log"`
}

// Address is one address, served without TLS.
type Address struct {
	// Listen is the IP address and port; port 0 chooses a free one.
	Listen string `json:"listen" validate:"ipport"`
}

// Store sets the address of the platform's store and the timeouts of its calls.
type Store struct {
	// Address is the IP address and port of the store. Required.
	Address string `json:"address" validate:"ipport"`
	// TimeoutMs is the timeout of a call that does not wait for a change. Default 1000.
	TimeoutMs int `json:"timeoutMs" validate:"gte=50,lte=60000"`
	// WaitMs is how long a call waits for a change. A dead connection, or an outage, is noticed only
	// after this time, so it must be shorter than the time in which a change must be active and,
	// with 500 ms for the timeout, than an outage in which registrations lapse. Default 1900.
	WaitMs int `json:"waitMs" validate:"gte=50,lte=30000"`
}

// GatewayRouting sets how upstreams are chosen.
type GatewayRouting struct {
	// Rule is predicted, or least-outstanding for comparison. Default predicted.
	Rule string `json:"rule" validate:"oneof=predicted least-outstanding"`
}

// Retries limits the retries of all entries together: in any ten seconds the number of retries for
// a service stays below Ratio times the number of its requests plus Slack.
type Retries struct {
	// Ratio is the number of retries per request. Default 0.1.
	Ratio float64 `json:"ratio" validate:"gte=0,lte=1"`
	// Slack is the number of additional retries. Default 20.
	Slack float64 `json:"slack" validate:"gte=0,lte=100000"`
}

// Quarantine sets when requests that crash upstreams are held back, and for how long.
type Quarantine struct {
	// Crashes is the number of upstreams that must have crashed while serving a request before it
	// is held back. Default 3.
	Crashes int `json:"crashes" validate:"gte=2,lte=100"`
	// HoldS is how long a request is held back the first time, in seconds. Each further hold is
	// eight times as long as the one before. Default 3600.
	HoldS int `json:"holdS" validate:"gte=1,lte=2592000"`
	// SegmentHoldS is the same for prompts with a segment under which upstreams crash. Default 2.
	SegmentHoldS int `json:"segmentHoldS" validate:"gte=1,lte=2592000"`
}

// DefaultQuarantine holds the default settings of core/quarantine.
var DefaultQuarantine = Quarantine{
	Crashes: quarantine.DefaultSettings.MinCrashes,
	HoldS:   int(quarantine.DefaultSettings.Hold.Seconds()),

	SegmentHoldS: int(quarantine.DefaultSettings.SegmentHold.Seconds()),
}

// LedgerSettings returns the settings for core/quarantine.
func (q Quarantine) LedgerSettings() quarantine.Settings {
	return quarantine.Settings{
		MinCrashes: q.Crashes, Hold: time.Duration(q.HoldS) * time.Second, SegmentHold: time.Duration(q.SegmentHoldS) * time.Second,
	}
}

// GatewayLimits bounds the memory that requests may use.
type GatewayLimits struct {
	// BodyBytes bounds the body of one request unless its route sets a bound. Default 4194304
	// (4 MiB).
	BodyBytes int `json:"bodyBytes" validate:"gte=1024,lte=1073741824"`
	// MemoryMb is the memory that the process may use, in MiB; 0 means no limit. The garbage
	// collector runs more often as memory use approaches the limit. Three tenths of it are for what
	// callers' connections and requests hold; without a limit, 512 MiB are. Default 0.
	MemoryMb float64 `json:"memoryMb" validate:"gte=0"`
	// Descriptors is the number of descriptors that the process may open; 0 means as many as its
	// resource limit says. Callers' connections get half of them, less 200 for other uses. Default 0.
	Descriptors int `json:"descriptors" validate:"eq=0|gte=256"`
	// Cores is the processor time that the process may use, in cores, and LinkMbps the bandwidth of
	// the VM's link in Mbit/s; 0 means not known. Of the entries of a zone, those with more of both
	// relay messages for the others. Defaults 0.
	Cores    float64 `json:"cores" validate:"gte=0"`
	LinkMbps float64 `json:"linkMbps" validate:"gte=0"`
}

// GatewayDrain bounds a graceful shutdown, which SIGTERM or SIGINT starts.
type GatewayDrain struct {
	// ReadyOffMs is the time between the first answer "not ready" and the end of the listener for
	// callers. Default 2500, for a load balancer that polls every second and needs two failures.
	ReadyOffMs int `json:"readyOffMs" validate:"gte=0,lte=600000"`
	// LimitS is the time in which requests in flight may finish, in seconds, including ReadyOffMs.
	// Default 8.
	LimitS float64 `json:"limitS" validate:"gte=0,lte=86400"`
}

// DefaultGateway returns the default settings; required settings are empty.
func DefaultGateway() *Gateway {
	return &Gateway{
		Store:   Store{TimeoutMs: 1000, WaitMs: 1900},
		Routing: GatewayRouting{Rule: string(dispatch.Predicted)},
		Retries: Retries{Ratio: 0.1, Slack: 20},

		Quarantine: DefaultQuarantine,
		Limits:     GatewayLimits{BodyBytes: 4 << 20},
		Drain:      GatewayDrain{ReadyOffMs: 2500, LimitS: 8},
		Log:        settings.DefaultLog,
	}
}

// ParseGateway parses settings strictly and returns all faults at once; the settings are nil if
// there is any fault.
func ParseGateway(data []byte) (*Gateway, []settings.Fault) {
	s := DefaultGateway()
	checkConsistency := func(s *Gateway) []settings.Fault {
		return settings.AtMost("$.drain.readyOffMs", s.Drain.ReadyOffMs, "limitS in milliseconds", int(s.Drain.LimitS*1000))
	}
	if faults := settings.Parse(data, s, checkConsistency); len(faults) > 0 {
		return nil, faults
	}
	return s, nil
}

// Limit returns the time limit of a graceful shutdown.
func (d GatewayDrain) Limit() time.Duration { return time.Duration(d.LimitS * float64(time.Second)) }

// Footprint returns the bounds on what callers' connections and requests hold.
func (l GatewayLimits) Footprint() footprint.Limits {
	return clientFootprint(l.MemoryMb, defaultClientBytes, l.Descriptors)
}
