package ratelimit

import (
	"time"

	"acaciacleat.example/core/rendezvous"
)

// MaxHolders is the number of entries that hold the shares of one upstream's limit. All others ask a
// holder for each request. The more holders, the less is lost with one of them, and the more
// requests may come at once after a pause: one for each holder.
const MaxHolders = 3

// Holders returns the entries that hold the shares of an incarnation's limit, by falling rank. All
// entries that know the same entries name the same holders.
func Holders(incarnation string, entries []string) []string {
	return firstRanked(incarnation, entries, MaxHolders)
}

// Rivals returns the entries that may be holders by the view of entries that don't know up to MaxHolders
// of the given ones, by falling rank.
func Rivals(incarnation string, entries []string) []string {
	return firstRanked(incarnation, entries, 2*MaxHolders)
}

func firstRanked(incarnation string, entries []string, count int) []string {
	ranked := rendezvous.Ranked(incarnation, entries)
	first := make([]string, min(count, len(ranked)))
	for i := range first {
		first[i] = entries[ranked[i]]
	}
	return first
}

// Share is one holder's part of an upstream's limit. A share belongs to its holder alone: no view of
// other entries and no lost message can add to it. It spaces requests evenly, so that in any time t
// it grants at most rate*t + 1 of them. The zero Share grants nothing.
type Share struct {
	rate Rate
	// next is the earliest time of the next request.
	next time.Time
}

// Rate returns the share's rate.
func (s *Share) Rate() Rate { return s.rate }

// SetRate sets the share's rate; zero makes it grant nothing. A share that begins grants its first
// request after phase intervals, from 0 to 1, so that the shares of one limit don't begin together.
// Requests that have been granted for later count at the new rate.
func (s *Share) SetRate(now time.Time, rate Rate, phase float64) {
	switch {
	case rate == s.rate:
	case rate == 0:
		*s = Share{}
	case s.rate == 0:
		s.rate, s.next = rate, now.Add(scale(rate.interval(), phase))
	default:
		if ahead := s.next.Sub(now); ahead > 0 {
			s.next = now.Add(scale(ahead, float64(s.rate/rate)))
		}
		s.rate = rate
	}
}

// Wait returns how long the next request has to wait.
func (s *Share) Wait(now time.Time) time.Duration { return max(s.next.Sub(now), 0) }

// Take grants a request if it has to wait for no longer than within, and returns how long it has to
// wait; if it isn't granted, how long the next one would have to.
func (s *Share) Take(now time.Time, within time.Duration) (wait time.Duration, granted bool) {
	wait = s.Wait(now)
	if s.rate == 0 || wait > within {
		return wait, false
	}
	s.next = now.Add(wait + s.rate.interval())
	return wait, true
}

// interval returns the time between two requests.
func (r Rate) interval() time.Duration { return time.Duration(float64(time.Second) / float64(r)) }

func scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }
