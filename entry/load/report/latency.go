package report

import (
	"encoding/base64"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

// The range of the histograms: a microsecond to two hours, with three significant digits.
const (
	minMicros         = 1
	maxMicros         = int64(2 * time.Hour / time.Microsecond)
	significantDigits = 3
)

// Latency summarises a distribution of times, in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50Ms float64 `json:"p50_ms"`
	P95Ms float64 `json:"p95_ms"`
	P99Ms float64 `json:"p99_ms"`
	MaxMs float64 `json:"max_ms"`
	// Histogram holds the values in microseconds, in HdrHistogram's V2 compressed encoding as
	// base64.
	Histogram string `json:"histogram,omitempty"`
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minMicros, maxMicros, significantDigits)
}

// record adds a time, clamped to the range of the histogram.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	// RecordValue fails only for values outside the range.
	_ = h.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros))
}

func newLatency(h *hdrhistogram.Histogram) Latency {
	if h.TotalCount() == 0 {
		return Latency{}
	}
	ms := func(percentile float64) float64 { return float64(h.ValueAtPercentile(percentile)) / 1000 }
	l := Latency{Count: h.TotalCount(), P50Ms: ms(50), P95Ms: ms(95), P99Ms: ms(99), MaxMs: ms(100)}
	// Encode fails only for an unknown version.
	if encoded, err := h.Encode(hdrhistogram.V2CompressedEncodingCookieBase); err == nil {
		l.Histogram = base64.StdEncoding.EncodeToString(encoded)
	}
	return l
}

// decode returns the histogram, or an empty one if none is stored.
func (l Latency) decode() (*hdrhistogram.Histogram, error) {
	if l.Histogram == "" {
		return newHistogram(), nil
	}
	data, err := base64.StdEncoding.DecodeString(l.Histogram)
	if err != nil {
		return nil, errors.Wrap(err, "histogram")
	}
	h, err := hdrhistogram.Decode(data)
	return h, errors.Wrap(err, "histogram")
}
