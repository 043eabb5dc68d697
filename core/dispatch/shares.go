package dispatch

import (
	"time"

	"acaciacleat.example/core/fairshare"
)

// ShareReport tells other entries of an organisation's part of the engines' time of a service.
type ShareReport struct {
	Service Tag
	fairshare.Report
}

// shareReportInterval is the time between two reports of the shares in scarcity: short compared to
// fairshare.Window.
const shareReportInterval = 200 * time.Millisecond

// engineTime returns the engines' time for the current request: its prefill, and its part of a slot's
// time.
func (s *search) engineTime() time.Duration {
	if s.spec.Slots <= 0 {
		return s.prefillTime
	}
	context := s.spec.MeanPromptTokens
	if context <= 0 {
		context = s.request.PromptTokens
	}
	return s.prefillTime + s.spec.Write(s.request.OutputTokens, s.spec.Slots, s.spec.Slots*context)/time.Duration(s.spec.Slots)
}

// recordDemand records the demand of the current request's organisation when the request arrives.
func (s *search) recordDemand(engineTime time.Duration) {
	if s.request.QueueID == (PlacementID{}) && !s.request.Committed {
		s.fleet.slotQueue(s.request.Service).shares.Ask(s.now, fairshare.TagOf(s.request.Organisation), engineTime)
	}
}

// TakeShareReports returns what to tell other entries of organisations' shares: nothing unless engines
// are scarce, and at most once in shareReportInterval.
func (f *Fleet) TakeShareReports(now time.Time) []ShareReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	var reports []ShareReport
	for service, q := range f.slotQueues {
		if !q.scarce(now) || now.Sub(q.reportedAt) < shareReportInterval {
			continue
		}
		q.reportedAt = now
		for _, r := range q.shares.Reports(now) {
			reports = append(reports, ShareReport{Service: TagOf(service), Report: r})
		}
	}
	return reports
}

// ApplyShareReports applies the reports of the entry with the given origin. It returns the number of
// those that were dropped; exists says which organisations there are.
func (f *Fleet) ApplyShareReports(now time.Time, origin uint64, reports []ShareReport, exists func(fairshare.Tag) bool) (dropped int) {
	if len(reports) == 0 {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	dropped = len(reports)
	for service, q := range f.slotQueues {
		var own []fairshare.Report
		for _, r := range reports {
			if r.Service == TagOf(service) {
				own = append(own, r.Report)
			}
		}
		if len(own) > 0 {
			dropped += q.shares.Apply(now, origin, own, exists) - len(own)
		}
	}
	f.droppedShares += uint64(dropped)
	return dropped
}

// Scarce reports whether the engines of a service lack slots for short prompts.
func (f *Fleet) Scarce(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, q := range f.slotQueues {
		if q.scarce(now) {
			return true
		}
	}
	return false
}

// DroppedShares returns how many reports of other entries on shares and turns were dropped.
func (f *Fleet) DroppedShares() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.droppedShares + f.droppedTurns
}

// ScarcityRefusal says why a short prompt was refused in scarcity.
type ScarcityRefusal string

const (
	// BehindOthers prompts would be in time if they were the next.
	BehindOthers ScarcityRefusal = "behind others"
	// OverShare prompts would too, and their organisation has got more than its fair share.
	OverShare ScarcityRefusal = "over share"
	// NoSlotInTime prompts would be late even as the next.
	NoSlotInTime ScarcityRefusal = "no slot in time"
)

// ScarcityRefusals returns all reasons.
func ScarcityRefusals() []ScarcityRefusal {
	return []ScarcityRefusal{BehindOthers, OverShare, NoSlotInTime}
}

// ScarcityRefused returns how many short prompts were refused for a reason.
func (f *Fleet) ScarcityRefused(reason ScarcityRefusal) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.scarcityRefused[reason]
}
