package directory

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// readRecord is one read of a feed that was answered.
type readRecord struct {
	began, answered time.Time
	wait            time.Duration
	// from is the position after which was read, named the newest version that the answer named.
	from, named uint64
	// rows is the number of changes in the answer.
	rows int
}

// maxReadRecords bounds the reads that are remembered: those of half a minute or more while nothing changes.
const maxReadRecords = 32

// readLog remembers a feed's last answered reads, to explain afterwards what the entry knew. It is safe for concurrent
// use. The zero readLog is empty.
type readLog struct {
	mu      sync.Mutex
	records []readRecord
	// passedOver counts the changes that reads had passed over.
	passedOver uint64
}

func (l *readLog) add(record readRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.records) == maxReadRecords {
		l.records = append(l.records[:0], l.records[1:]...)
	}
	l.records = append(l.records, record)
}

// last returns the last n reads, the oldest first.
func (l *readLog) last(n int) readRecords {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append(readRecords(nil), l.records[max(0, len(l.records)-n):]...)
}

// notePassedOver returns the first read that passed over a change: it began before the change's revision and named a
// newer version, but the change was not known until now. It reports false if there is none.
func (l *readLog) notePassedOver(revision uint64) (readRecord, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.records {
		if r.from < revision && revision <= r.named {
			l.passedOver++
			return r, true
		}
	}
	return readRecord{}, false
}

// countPassedOver returns the number of changes that reads had passed over.
func (l *readLog) countPassedOver() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.passedOver
}

// readRecords are reads as they are logged.
type readRecords []readRecord

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (all readRecords) MarshalZerologArray(a *zerolog.Array) {
	now := time.Now()
	for _, r := range all {
		a.Dict(zerolog.Dict().Int64("began_ms_ago", now.Sub(r.began).Milliseconds()).Int64("answered_ms_ago", now.Sub(r.answered).Milliseconds()).
			Int64("wait_ms", r.wait.Milliseconds()).Uint64("from", r.from).Uint64("named", r.named).Int("rows", r.rows))
	}
}
