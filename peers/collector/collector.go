// Package collector exports traces by OpenTelemetry. Each hop of a request has one span;
// the W3C traceparent joins the spans of several processes.
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

// Exporter is the destination of spans.
type Exporter string

// The exporters.
const (
	None   Exporter = "none"
	Stdout Exporter = "stdout"
	OTLP   Exporter = "otlp"
)

// The names of the spans, one for each hop.
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
	// Endpoint is the URL of the OTLP collector. Only OTLP uses it.
	Endpoint string
	// VM is the VM's id, exported with each span.
	VM string
	// Output receives the spans of the Stdout exporter.
	Output io.Writer
}

// Tracer starts spans. A nil Tracer is valid and records nothing. It is safe for
// concurrent use.
type Tracer struct {
	provider *sdktrace.TracerProvider
	tracer   trace.Tracer
}

// Open returns a Tracer for the configured exporter, or nil for None.
func Open(ctx context.Context, config Config) (*Tracer, error) {
	exporter, err := newExporter(ctx, config)
	if exporter == nil || err != nil {
		return nil, err
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "acaciacleat"),
			attribute.String("service.instance.id", config.VM),
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

// Close exports the buffered spans and shuts the exporter down.
func (t *Tracer) Close(ctx context.Context) error {
	if t == nil {
		return nil
	}
	return t.provider.Shutdown(ctx)
}

// flushTimeout limits the export of the last spans.
const flushTimeout = 2 * time.Second

// Flush closes the tracer at the end of a process. Spans that can't be exported within
// flushTimeout are lost.
func (t *Tracer) Flush() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	_ = t.Close(ctx)
}

const traceParentHeader = "traceparent"

// Span covers one hop of one request. The zero Span records nothing.
type Span struct {
	span        trace.Span
	traceParent string
}

// Start begins a span as a child of the given W3C traceparent. An empty or invalid one
// starts a new trace.
func (t *Tracer) Start(parent, hop string) Span {
	return t.StartAt(parent, hop, time.Now())
}

// StartAt begins a span with a start time in the past.
func (t *Tracer) StartAt(parent, hop string, at time.Time) Span {
	if t == nil {
		return Span{traceParent: parent}
	}
	carrier := propagation.MapCarrier{traceParentHeader: parent}
	ctx := propagation.TraceContext{}.Extract(context.Background(), carrier)
	ctx, span := t.tracer.Start(ctx, hop, trace.WithTimestamp(at))
	propagation.TraceContext{}.Inject(ctx, carrier)
	return Span{span: span, traceParent: carrier[traceParentHeader]}
}

// TraceParent returns the traceparent for the calls that this hop makes.
func (s Span) TraceParent() string { return s.traceParent }

// End ends the span and records the request's id and result code.
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
