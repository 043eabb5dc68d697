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
	// confirmAfter is how long after a broken call the upstream's address is tried: a process that
	// ends closes its sockets one after the other.
	confirmAfter = 20 * time.Millisecond
	// confirmTimeout bounds that try; the upstream is on this VM.
	confirmTimeout = 200 * time.Millisecond
)

// lives counts the ends of the upstream's process that calls have met.
type lives struct {
	mu    sync.Mutex
	ended int
	// at is when the last one was found.
	at time.Time
	// trying is closed at the end of the try of the address in hand; nil for none.
	trying chan struct{}
}

// crashed turns a call's failure into UpstreamCrashed if the upstream's process has ended under it.
// Calls that the same end has cut off get the same detail, by which entries tell crashes apart.
func (s *Server) crashed(started time.Time, err *result.Error) *result.Error {
	if err.Code != result.UpstreamFailed || err.Execution == result.NotRun {
		return err
	}
	life := s.lives.endedSince(started, s.upstreamGone)
	if life == 0 {
		return err
	}
	s.log.Warn().Int("life", life).Msg("the upstream's process ended under a call")
	detail := fmt.Sprintf("life %d of the upstream beside this agent has ended", life)
	return &result.Error{Code: result.UpstreamCrashed, Execution: err.Execution, Detail: detail}
}

// endedSince returns which life of the upstream ended after a call was started there that has
// broken off by now; zero for none. Calls that break off together try the address once.
func (l *lives) endedSince(started time.Time, gone func() bool) int {
	l.mu.Lock()
	if l.at.After(started) {
		defer l.mu.Unlock()
		return l.ended
	}
	done := l.trying
	if done == nil {
		done = make(chan struct{})
		l.trying = done
		go l.try(gone)
	}
	l.mu.Unlock()
	<-done
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.at.After(started) {
		return l.ended
	}
	return 0
}

// try finds out whether the upstream's process has ended, and ends the wait for that.
func (l *lives) try(gone func() bool) {
	time.Sleep(confirmAfter)
	ended := gone()
	l.mu.Lock()
	defer l.mu.Unlock()
	if ended {
		l.ended++
		l.at = time.Now()
	}
	close(l.trying)
	l.trying = nil
}

// upstreamGone reports whether nobody listens at the upstream's address.
func (s *Server) upstreamGone() bool {
	base, err := url.Parse(s.config.Upstream)
	if err != nil || base.Port() == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", base.Host)
	if err == nil {
		_ = conn.Close() // Nothing was sent over it.
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
