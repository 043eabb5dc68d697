// Package collector is the system's view of the place where traces go: spans by
// OpenTelemetry, one a hop, joined across processes by the W3C traceparent.
package collector

import (
	"context"
	"io"
	"time"

	"acaciacleat.example/core/result"
	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// Exporter names where spans go.
type Exporter string

// The exporters.
const (
	None   Exporter = "none"
	Stdout Exporter = "stdout"
	OTLP   Exporter = "otlp"
)

// The hops that have a span.
const (
	HopEntry    = "entry"
	HopLink     = "link"
	HopAgent    = "agent"
	HopQueue    = "queue"
	HopUpstream = "upstream"
)

// Config configures a Tracer.
type Config struct {
	Exporter Exporter
	// Endpoint is the URL of an OTLP collector; OTLP only.
	Endpoint string
	// Process is the VM's id, told with each span.
	Process string
	// Output is where Stdout writes.
	Output io.Writer
}

// Tracer makes spans. A nil Tracer makes none and costs nothing. It is safe for
// concurrent use.
type Tracer struct {
	provider *sdktrace.TracerProvider
	tracer   trace.Tracer
}

// Open returns a Tracer, or nil for None.
func Open(ctx context.Context, config Config) (*Tracer, error) {
	exporter, err := newExporter(ctx, config)
	if exporter == nil || err != nil {
		return nil, err
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "acaciacleat"),
			attribute.String("service.instance.id", config.Process),
		)),
	)
	return &Tracer{provider: provider, tracer: provider.Tracer("acaciacleat")}, nil
}

func newExporter(ctx context.Context, config Config) (sdktrace.SpanExporter, error) {
	switch config.Exporter {
	case None, "":
		return nil, nil
	case Stdout:
		return stdouttrace.New(stdouttrace.WithWriter(config.Output))
	case OTLP:
		return otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(config.Endpoint))
	default:
		return nil, errors.Errorf("trace exporter %q: want none, stdout or otlp", config.Exporter)
	}
}

// Close sends what is buffered.
func (t *Tracer) Close(ctx context.Context) error {
	if t == nil {
		return nil
	}
	return t.provider.Shutdown(ctx)
}

// flushTimeout bounds sending the last spans.
const flushTimeout = 2 * time.Second

// Flush closes the tracer at the end of a process. Spans that can not be sent in time
// are lost; nothing waits for them.
func (t *Tracer) Flush() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	_ = t.Close(ctx)
}

const parentHeader = "traceparent"

// Span is one hop of one request. The zero Span does nothing.
type Span struct {
	span   trace.Span
	parent string
}

// Start begins a span under the given W3C traceparent, which may be empty or invalid.
func (t *Tracer) Start(parent, hop string) Span {
	return t.StartAt(parent, hop, time.Now())
}

// StartAt begins a span at a time that has passed.
func (t *Tracer) StartAt(parent, hop string, at time.Time) Span {
	if t == nil {
		return Span{parent: parent}
	}
	carrier := propagation.MapCarrier{parentHeader: parent}
	ctx := propagation.TraceContext{}.Extract(context.Background(), carrier)
	ctx, span := t.tracer.Start(ctx, hop, trace.WithTimestamp(at))
	propagation.TraceContext{}.Inject(ctx, carrier)
	return Span{span: span, parent: carrier[parentHeader]}
}

// Parent is the traceparent for what this hop calls.
func (s Span) Parent() string { return s.parent }

// End closes the span with the request's id and result.
func (s Span) End(request string, code result.Code) {
	if s.span == nil {
		return
	}
	s.span.SetAttributes(
		attribute.String("acaciacleat.request", request),
		attribute.Int("acaciacleat.code", int(code)),
	)
	if code != result.OK {
		s.span.SetStatus(codes.Error, result.Lookup(code).Name)
	}
	s.span.End()
}
