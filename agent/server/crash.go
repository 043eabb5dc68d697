package server

import (
	"context"
	"fmt"
	"net"
	"net/url"
	"sync"
	"syscall"
	"time"

	"acaciacleat.example/core/result"
	"github.com/pkg/errors"
)

const (
	// probeDelay is the delay between a broken call and the probe of the upstream's address. A
	// process that exits closes its sockets one after the other, so its listening socket may
	// still be open when a call breaks.
	probeDelay = 20 * time.Millisecond
	// probeTimeout bounds a probe. The upstream is on the same VM.
	probeTimeout = 200 * time.Millisecond
)

// crashDetector counts the crashes of the upstream's process that broke calls.
type crashDetector struct {
	mu      sync.Mutex
	crashes int
	// lastCrash is when the last crash was detected.
	lastCrash time.Time
	// probing is closed at the end of the current probe; nil if there is none.
	probing chan struct{}
}

// classifyCrash converts a call's failure to UpstreamCrashed if the upstream's process has
// crashed during the call. Calls that the same crash has broken get the same detail, by which
// entries tell crashes apart.
func (s *Server) classifyCrash(started time.Time, err *result.Error) *result.Error {
	if err.Code != result.UpstreamFailed || err.Execution == result.NotRun {
		return err
	}
	crash := s.crashes.crashSince(started, s.upstreamNotListening)
	if crash == 0 {
		return err
	}
	s.log.Warn().Int("life", crash).Msg("the upstream's process ended under a call")
	detail := fmt.Sprintf("life %d of the upstream beside this agent has ended", crash)
	return &result.Error{Code: result.UpstreamCrashed, Execution: err.Execution, Detail: detail}
}

// crashSince returns the number of the upstream's last crash if it happened after the start
// of a call that has now broken, and zero otherwise. Calls that break together share one
// probe of the address.
func (d *crashDetector) crashSince(started time.Time, notListening func() bool) int {
	d.mu.Lock()
	if d.lastCrash.After(started) {
		defer d.mu.Unlock()
		return d.crashes
	}
	done := d.probing
	if done == nil {
		done = make(chan struct{})
		d.probing = done
		go d.probe(notListening)
	}
	d.mu.Unlock()
	<-done
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lastCrash.After(started) {
		return d.crashes
	}
	return 0
}

// probe checks whether the upstream's process has crashed, and wakes the waiting calls.
func (d *crashDetector) probe(notListening func() bool) {
	time.Sleep(probeDelay)
	crashed := notListening()
	d.mu.Lock()
	defer d.mu.Unlock()
	if crashed {
		d.crashes++
		d.lastCrash = time.Now()
	}
	close(d.probing)
	d.probing = nil
}

// upstreamNotListening reports whether connections to the upstream's address are refused.
func (s *Server) upstreamNotListening() bool {
	base, err := url.Parse(s.config.Upstream)
	if err != nil || base.Port() == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", base.Host)
	if err == nil {
		_ = conn.Close() // The probe sent nothing.
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
