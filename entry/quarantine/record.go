package quarantine

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"acaciacleat.example/core/fingerprint"
	corequarantine "acaciacleat.example/core/quarantine"
	"acaciacleat.example/peers/table"
	"github.com/pkg/errors"
)

// Record is one entry's record of a request, or of a segment of prompts. Each entry writes only its own rows, so that no
// two entries write the same row; readers combine them. Times are Unix milliseconds of the
// writer's clock.
type Record struct {
	Crashes     []RecordedCrash `json:"crashes,omitempty"`
	HeldUntilMs int64           `json:"heldUntilMs,omitempty"`
	// Times is the number of times in a row that the request has been held back.
	Times int `json:"times,omitempty"`
	// ReleasedMs is set in an operator's row. Rows written before this time no longer count.
	ReleasedMs   int64  `json:"releasedMs,omitempty"`
	WrittenMs    int64  `json:"writtenMs"`
	Request      string `json:"request,omitempty"`
	Route        string `json:"route,omitempty"`
	Organisation string `json:"organisation,omitempty"`
	// Service is the service that the request was sent to, and Segments are the IDs of the segments that its
	// prompt may share with others.
	Service  string   `json:"service,omitempty"`
	Segments []string `json:"segments,omitempty"`
	// Segment is the ID of the segment that the record is of; empty if it is of a request. Request, Route and
	// Organisation are then those of the last prompt with it.
	Segment string `json:"segment,omitempty"`
}

// RecordedCrash is a crash of one incarnation of an upstream.
type RecordedCrash struct {
	Upstream uint32 `json:"upstream"`
	AtMs     int64  `json:"atMs"`
	// AfterCrash corresponds to Suspect.AfterCrash.
	AfterCrash bool `json:"again,omitempty"`
	// Begun corresponds to Suspect.Begun.
	Begun bool `json:"begun,omitempty"`
}

// hold returns the hold of a record; its end is not after the epoch if there is none.
func (r *Record) hold() corequarantine.Hold {
	return corequarantine.Hold{Until: time.UnixMilli(r.HeldUntilMs), Times: max(r.Times, 1), Segment: r.Segment != ""}
}

// Row is a Record with its fingerprint, its writer and its name in the store.
type Row struct {
	Print  fingerprint.Print
	Writer string
	Record
	name string
}

// separator separates the fingerprint from the writer in a row's name.
const separator = "."

// maxTimeMs is the latest valid time in a row, in the year 2286.
const maxTimeMs = 9_999_999_999_999

// rowName returns the name of a writer's row for a request.
func rowName(print fingerprint.Print, writer string) string {
	return print.String() + separator + writer
}

// Decode decodes a row of the store.
func Decode(r table.Row) (Row, error) {
	digits, writer, ok := strings.Cut(r.Key.Row, separator)
	print, err := fingerprint.Parse(digits)
	if err != nil || !ok {
		return Row{}, errors.Errorf("row %.80q names no request and writer", r.Key.Row)
	}
	row := Row{Print: print, Writer: writer, name: r.Key.Row}
	if r.Damaged || json.Unmarshal(r.Value, &row.Record) != nil {
		return Row{}, errors.Errorf("row %.80q can't be read", r.Key.Row)
	}
	for _, ms := range row.times() {
		if ms < 0 || ms > maxTimeMs {
			return Row{}, errors.Errorf("row %.80q: the time %d is no Unix millisecond", r.Key.Row, ms)
		}
	}
	if row.Times < 0 || row.Times > corequarantine.MaxHoldTimes {
		return Row{}, errors.Errorf("row %.80q: times is %d, allowed are 0 to %d", r.Key.Row, row.Times, corequarantine.MaxHoldTimes)
	}
	if len(row.Segments) > corequarantine.MaxSegments {
		return Row{}, errors.Errorf("row %.80q: it has %d segments, allowed are %d", r.Key.Row, len(row.Segments), corequarantine.MaxSegments)
	}
	return row, nil
}

// times returns all times of a record, in Unix milliseconds.
func (r *Record) times() []int64 {
	all := []int64{r.HeldUntilMs, r.ReleasedMs, r.WrittenMs}
	for _, c := range r.Crashes {
		all = append(all, c.AtMs)
	}
	return all
}

// countingCrashes returns the crashes of a row without those from the future, which would count again
// after each hold.
func (r *Row) countingCrashes(now time.Time) []RecordedCrash {
	latest := now.Add(maxClockSkew).UnixMilli()
	return slices.DeleteFunc(slices.Clone(r.Crashes), func(c RecordedCrash) bool { return c.AtMs > latest })
}

// expired reports whether a row no longer counts. A row counts for corequarantine.Retention after
// it was written and after its last crash. A row with a hold also counts during the probation after
// the hold, in which one crash causes the next hold.
func (r *Row) expired(now time.Time, settings corequarantine.Settings) bool {
	last := time.UnixMilli(max(r.WrittenMs, r.ReleasedMs))
	for _, c := range r.countingCrashes(now) {
		if at := time.UnixMilli(c.AtMs); at.After(last) {
			last = at
		}
	}
	expiry := last.Add(corequarantine.Retention)
	if r.HeldUntilMs > 0 {
		expiry = slices.MaxFunc([]time.Time{expiry, settings.ProbationEnd(r.hold())}, time.Time.Compare)
	}
	return now.After(expiry)
}

// maxClockSkew bounds the difference between the clocks of two VMs.
const maxClockSkew = time.Minute

// activeReleases returns the time of each request's last release by an operator, unless a newer
// row holds the request back again. Releases from the future are ignored, as they would void
// all rows until then.
func activeReleases(now time.Time, all []Row) map[fingerprint.Print]int64 {
	released := make(map[fingerprint.Print]int64)
	latest := now.Add(maxClockSkew).UnixMilli()
	for _, r := range all {
		if r.ReleasedMs > 0 && r.ReleasedMs <= latest {
			released[r.Print] = max(released[r.Print], r.ReleasedMs)
		}
	}
	for _, r := range all {
		if at, ok := released[r.Print]; ok && r.HeldUntilMs > 0 && r.WrittenMs > at {
			delete(released, r.Print)
		}
	}
	return released
}
