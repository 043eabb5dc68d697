package ratelimit

import "time"

// Report tells other entries of the limit of an upstream's incarnation.
type Report struct {
	// Tag stands for the incarnation.
	Tag uint32
	// Rate is zero if the incarnation names no limit any more.
	Rate  Rate
	AgeMs int64
}

// MaxReportAge bounds the age of a report; older ones are damaged.
const MaxReportAge = time.Hour

// Valid reports whether a correct entry can have sent the report.
func (r Report) Valid() bool {
	return (r.Rate == 0 || r.Rate.Valid()) && r.AgeMs >= 0 && r.AgeMs <= MaxReportAge.Milliseconds()
}

// StatedAt returns the time for which the reported limit was stated.
func (r Report) StatedAt(now time.Time) time.Time {
	return now.Add(-time.Duration(r.AgeMs) * time.Millisecond)
}

// Ask asks a holder to grant one request. It carries the limit that the asking entry knows.
type Ask struct {
	Number uint64
	Limit  Report
	// Cold is set if the upstream is cold, or was shortly before, and ColdMs how much longer it is cold.
	Cold   bool
	ColdMs int64
	// WithinMs is the longest wait for which the request is still of use.
	WithinMs int64
}

// Within returns the longest wait as a duration, between zero and MaxWait.
func (a Ask) Within() time.Duration {
	return time.Duration(min(max(a.WithinMs, 0), MaxWait.Milliseconds())) * time.Millisecond
}

// MaxWait bounds the wait for a permit: how far ahead a holder grants requests. An entry that asks
// and never sends then can't block a share for long.
const MaxWait = 2 * time.Second

// Reply answers an Ask.
type Reply struct {
	Number  uint64
	Granted bool
	// WaitMs is how long the request has to wait, or would have to if it isn't granted.
	WaitMs int64
}

// Wait returns the wait as a duration.
func (r Reply) Wait() time.Duration { return time.Duration(max(r.WaitMs, 0)) * time.Millisecond }
