// Package settings defines the settings that entries and agents share: their types, defaults
// and validation rules. Each process reads its settings from one JSON file at startup. Names
// of times end in Ms, for milliseconds; names of sizes end in Bytes.
package settings

import (
	"context"
	"io"

	"acaciacleat.example/peers/collector"
)

// VM identifies the VM on which the process runs.
type VM struct {
	// ID is the VM's id in the platform's list of VMs. Required.
	ID string `json:"id" validate:"label"`
	// Zone is the VM's availability zone. Required.
	Zone string `json:"zone" validate:"label"`
}

// Link configures the process's links to the system's other processes.
type Link struct {
	// Listen is the IP address and port on which the process accepts links. Required; port
	// 0 selects a free port.
	Listen string `json:"listen" validate:"ipport"`
	// CurrentKey authenticates this process to others. Required. A key file is reloaded when
	// it changes. To rotate the key without a failed link: set the new key as previousKey in
	// all processes, then swap the two keys in all processes, then remove the old key.
	CurrentKey Secret `json:"currentKey"`
	// PreviousKey is a second key that is accepted from other processes. Default: none.
	PreviousKey Secret `json:"previousKey"`
}

// Secret refers to a secret; the secret itself is never in the settings. Only one of the
// fields may be set.
type Secret struct {
	// File is the name of a file with the secret; surrounding white space is ignored.
	File string `json:"file"`
	// Env is the name of an environment variable with the secret.
	Env string `json:"env" validate:"omitempty,envname"`
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	// Table is the table service. Required.
	Table string `json:"table" validate:"baseurl"`
	// Objects is the object store. Required.
	Objects string `json:"objects" validate:"baseurl"`
	// VMs is the list of VMs. Required.
	VMs string `json:"vms" validate:"baseurl"`
	// Weights is the weight store. Required.
	Weights string `json:"weights" validate:"baseurl"`
	// TimeoutMs limits the time until a call is answered, and each pause in its answer.
	// Default 2000.
	TimeoutMs int `json:"timeoutMs" validate:"gte=1,lte=60000"`
}

// Log configures the log, which is written as JSON lines to the standard error stream.
type Log struct {
	// Level is the minimum level that is logged: debug, info, warn or error. Default info.
	Level string `json:"level" validate:"oneof=debug info warn error"`
}

// The exporters of traces.
const (
	ExporterNone   = "none"
	ExporterStdout = "stdout"
	ExporterOTLP   = "otlp"
)

// Trace configures the export of spans.
type Trace struct {
	// Exporter is none, stdout or otlp. Default none.
	Exporter string `json:"exporter" validate:"oneof=none stdout otlp"`
	// Endpoint is the base URL of the OTLP/HTTP collector. Required for otlp, not allowed
	// otherwise.
	Endpoint string `json:"endpoint" validate:"omitempty,baseurl"`
}

// Open opens the exporter for the process on the given VM. The stdout exporter writes to
// output.
func (t Trace) Open(vm string, output io.Writer) (*collector.Tracer, error) {
	return collector.Open(context.Background(), collector.Config{
		Exporter: collector.Exporter(t.Exporter),
		Endpoint: t.Endpoint,
		VM:       vm,
		Output:   output,
	})
}

// TLS names the PEM files of a certificate. Either both are set or none; without them the
// address is served without TLS. Changed files are reloaded; if the certificate and the key
// don't match, the last valid pair stays in use.
type TLS struct {
	// CertFile holds the certificate followed by its chain. Default: none.
	CertFile string `json:"certFile"`
	// KeyFile holds the private key. Default: none.
	KeyFile string `json:"keyFile"`
}

// Enabled reports whether certificate files are set.
func (t TLS) Enabled() bool { return t.CertFile != "" }

// Default values.
const (
	DefaultPlatformTimeoutMs = 2_000
	DefaultLogLevel          = "info"
	// DefaultDrainMs is long enough for all but the longest requests.
	DefaultDrainMs = 600_000
)

// DefaultPlatform holds the defaults of Platform.
var DefaultPlatform = Platform{TimeoutMs: DefaultPlatformTimeoutMs}

// DefaultLog and DefaultTrace hold the defaults of Log and Trace.
var (
	DefaultLog   = Log{Level: DefaultLogLevel}
	DefaultTrace = Trace{Exporter: ExporterNone}
)
