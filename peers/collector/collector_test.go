package collector

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"testing"

	"acaciacleat.example/core/result"
	"github.com/stretchr/testify/require"
)

// exportedSpan holds the fields of an exported span that the test checks.
type exportedSpan struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
	Status      struct{ Code string }
}

func TestSpansJoinCallersTrace(t *testing.T) {
	var out bytes.Buffer
	tracer, err := Open(context.Background(), Config{Exporter: Stdout, Output: &out})
	require.NoError(t, err)
	const callers = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"
	outer := tracer.Start(callers, HopEntry)
	inner := tracer.Start(outer.TraceParent(), HopAgent)
	inner.End("r", result.UpstreamFailed)
	outer.End("r", result.OK)
	require.NoError(t, tracer.Close(context.Background()))
	spans := make(map[string]exportedSpan)
	for decoder := json.NewDecoder(&out); ; {
		var span exportedSpan
		err := decoder.Decode(&span)
		if err == io.EOF {
			break
		}
		require.NoError(t, err)
		spans[span.Name] = span
	}
	require.Equal(t, "4bf92f3577b34da6a3ce929d0e0e4736", spans[HopAgent].SpanContext.TraceID)
	require.Equal(t, "00f067aa0ba902b7", spans[HopEntry].Parent.SpanID)
	require.Equal(t, spans[HopEntry].SpanContext.SpanID, spans[HopAgent].Parent.SpanID)
	require.Equal(t, "Error", spans[HopAgent].Status.Code)
}

func TestNilTracerForwardsTraceParent(t *testing.T) {
	tracer, err := Open(context.Background(), Config{Exporter: None})
	require.NoError(t, err)
	require.Nil(t, tracer)
	span := tracer.Start("00-a", HopEntry)
	span.End("r", result.OK)
	require.Equal(t, "00-a", span.TraceParent())
	require.NoError(t, tracer.Close(context.Background()))
}

func TestUnknownExporterIsRefused(t *testing.T) {
	_, err := Open(context.Background(), Config{Exporter: "x"})
	require.ErrorContains(t, err, "none, stdout or otlp")
}
