// Package settings holds the parts of a process's settings that entries and agents
// share: their types, defaults and rules. Settings are one JSON file for each process,
// read at its start. Times end in Ms and are in milliseconds, sizes end in Bytes.
package settings

import (
	"context"
	"io"

	"acaciacleat.example/peers/collector"
)

// VM tells where the process runs.
type VM struct {
	// ID is the VM's id in the platform's list of VMs. Required.
	ID string `json:"id" validate:"label"`
	// Zone is the VM's availability zone. Required.
	Zone string `json:"zone" validate:"label"`
}

// Link is the process's end of the links between the system's own processes.
type Link struct {
	// Listen is the IP address and port on which links are taken. Required; port 0
	// chooses a free one.
	Listen string `json:"listen" validate:"ipport"`
	// CurrentKey proves this process to others. Required. A key file is read again when
	// it changes. To rotate without a failed link: give the new key to all processes as
	// previousKey, then exchange the two in all, then take the old one away.
	CurrentKey Secret `json:"currentKey"`
	// PreviousKey is accepted from others besides the current one. Default: none.
	PreviousKey Secret `json:"previousKey"`
}

// Secret says where a secret stands; the secret itself is never in settings. One of the
// two is set.
type Secret struct {
	// File is a file with the secret; white space round it doesn't count.
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
	// TimeoutMs bounds the time until a call is answered, and each pause in its answer. Default 2000.
	TimeoutMs int `json:"timeoutMs" validate:"gte=1,lte=60000"`
}

// Log says what is logged, as JSON lines on the standard error stream.
type Log struct {
	// Level is the least level logged: debug, info, warn or error. Default info.
	Level string `json:"level" validate:"oneof=debug info warn error"`
}

// The exporters of traces.
const (
	ExporterNone   = "none"
	ExporterStdout = "stdout"
	ExporterOTLP   = "otlp"
)

// Trace says where spans go.
type Trace struct {
	// Exporter is none, stdout or otlp. Default none.
	Exporter string `json:"exporter" validate:"oneof=none stdout otlp"`
	// Endpoint is the base URL of the OTLP/HTTP collector; for otlp only, and required
	// for it.
	Endpoint string `json:"endpoint" validate:"omitempty,baseurl"`
}

// Open opens the exporter for the process on a VM; spans of Stdout go to output.
func (t Trace) Open(vm string, output io.Writer) (*collector.Tracer, error) {
	return collector.Open(context.Background(), collector.Config{
		Exporter: collector.Exporter(t.Exporter),
		Endpoint: t.Endpoint,
		Process:  vm,
		Output:   output,
	})
}

// TLS names a certificate's files in PEM. Both are set or none; without them the
// address is served in clear. Changed files are read again; when they don't fit
// together, the certificate read last stays in use.
type TLS struct {
	// CertFile holds the certificate followed by its chain. Default: none.
	CertFile string `json:"certFile"`
	// KeyFile holds the private key. Default: none.
	KeyFile string `json:"keyFile"`
}

// Enabled reports whether certificate files are set.
func (t TLS) Enabled() bool { return t.CertFile != "" }

// Defaults.
const (
	DefaultPlatformTimeoutMs = 2_000
	DefaultLogLevel          = "info"
	// DefaultDrainMs lets all but the very longest requests finish.
	DefaultDrainMs = 600_000
)

// DefaultPlatform holds the defaults of Platform.
var DefaultPlatform = Platform{TimeoutMs: DefaultPlatformTimeoutMs}

// DefaultLog and DefaultTrace hold the defaults of Log and Trace.
var (
	DefaultLog   = Log{Level: DefaultLogLevel}
	DefaultTrace = Trace{Exporter: ExporterNone}
)
