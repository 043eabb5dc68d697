// Package fairshare divides scarce engine time among organisations by weighted max-min fairness: each
// gets what it asks for up to a common level, and what one doesn't ask for is left to the others. It
// does no I/O.
package fairshare

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"

	"acaciacleat.example/core/decay"
)

// Tag is a hash that stands for an organisation in reports.
type Tag uint64

// TagOf returns the tag of an organisation. Callers without one share the tag of the empty name.
func TagOf(organisation string) Tag {
	h := fnv.New64a()
	h.Write([]byte(organisation))
	return Tag(h.Sum64())
}

const (
	// Window is the averaging time of demand and grants: a few streams long, so that an organisation
	// with few requests isn't over its share after one.
	Window = 2 * time.Second
	// MaxReports bounds the organisations that an entry reports. Those with less demand get all that
	// they ask for, so others needn't know of them.
	MaxReports = 64
	// maxReported bounds the engine time that a report may state.
	maxReported = 10 * time.Hour
	// levelAge is the time after which the level is computed again.
	levelAge = 100 * time.Millisecond
	// minKept is the demand, in seconds, below which an organisation is forgotten.
	minKept = 1e-4
)

// Report is what an entry tells the others of an organisation: the decaying sums of the engine time
// that was asked for and granted there.
type Report struct {
	Organisation      Tag
	DemandMs, GrantMs int64
}

// Valid reports whether a report may be true.
func (r Report) Valid() bool {
	return r.DemandMs >= 0 && r.GrantMs >= 0 && max(r.DemandMs, r.GrantMs) <= maxReported.Milliseconds()
}

// Claim is what an organisation asks for and what it has got, in seconds of engine time.
type Claim struct {
	Demand, Granted, Weight float64
}

// Level returns the engine time per weight up to which each demand is met if all of them share the
// capacity; +Inf if it is enough for all.
func Level(claims []Claim, capacity float64) float64 {
	sorted := slices.SortedFunc(slices.Values(claims), func(a, b Claim) int {
		return cmp.Compare(a.Demand*b.Weight, b.Demand*a.Weight)
	})
	weights := 0.0
	for _, c := range sorted {
		weights += c.Weight
	}
	for _, c := range sorted {
		if c.Demand*weights > capacity*c.Weight {
			return max(capacity/weights, 0)
		}
		capacity -= c.Demand
		weights -= c.Weight
	}
	return math.Inf(1)
}

// account is an organisation's demand and grants at this entry.
type account struct{ demand, granted decay.Sum }

// statement holds the reports of another entry.
type statement struct {
	at     time.Time
	claims map[Tag]Claim
}

// Ledger holds the demand and grants of organisations at all entries.
type Ledger struct {
	own map[Tag]*account
	// forgetAt is the number of organisations from which idle ones are forgotten.
	forgetAt int
	others   map[uint64]statement
	// claims are those of all entries, and level is their level, as of computedAt.
	claims     map[Tag]Claim
	level      float64
	computedAt time.Time
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger {
	return &Ledger{own: make(map[Tag]*account), others: make(map[uint64]statement)}
}

func (l *Ledger) account(organisation Tag) *account {
	a := l.own[organisation]
	if a == nil {
		a = &account{}
		l.own[organisation] = a
	}
	return a
}

// Ask records that an organisation asks for engine time at this entry.
func (l *Ledger) Ask(now time.Time, organisation Tag, engineTime time.Duration) {
	if len(l.own) > l.forgetAt {
		l.forgetIdle(now)
		l.forgetAt = 2*len(l.own) + MaxReports
	}
	l.account(organisation).demand.Add(now, engineTime.Seconds(), Window)
}

// Grant records that an organisation gets engine time at this entry.
func (l *Ledger) Grant(now time.Time, organisation Tag, engineTime time.Duration) {
	l.account(organisation).granted.Add(now, engineTime.Seconds(), Window)
	if claim, ok := l.claims[organisation]; ok {
		claim.Granted += engineTime.Seconds()
		l.claims[organisation] = claim
	}
}

// MaxRank is the rank of organisations that have got several times their fair share.
const MaxRank = 8

// Rank returns how much of its fair share an organisation has got, in halves: 2 for about all of it.
// Lower ranks go first. All ranks are 0 while demand is met.
func (l *Ledger) Rank(now time.Time, organisation Tag) int {
	if age := now.Sub(l.computedAt); age < 0 || age >= levelAge {
		l.compute(now)
	}
	granted := l.claims[organisation].Granted
	if granted <= 0 || math.IsInf(l.level, 1) {
		return 0
	}
	return int(math.Round(min(2*granted/l.level, MaxRank)))
}

// compute adds up what all entries state, and computes the level. Organisations have equal weights.
func (l *Ledger) compute(now time.Time) {
	l.computedAt = now
	l.forgetIdle(now)
	l.claims = make(map[Tag]Claim, len(l.own))
	for tag, a := range l.own {
		l.claims[tag] = Claim{Demand: a.demand.Value(now, Window), Granted: a.granted.Value(now, Window), Weight: 1}
	}
	for _, s := range l.others {
		left := math.Exp(-max(now.Sub(s.at), 0).Seconds() / Window.Seconds())
		for tag, c := range s.claims {
			sum := l.claims[tag]
			l.claims[tag] = Claim{Demand: sum.Demand + left*c.Demand, Granted: sum.Granted + left*c.Granted, Weight: 1}
		}
	}
	claims, capacity := make([]Claim, 0, len(l.claims)), 0.0
	for _, c := range l.claims {
		claims = append(claims, c)
		capacity += c.Granted
	}
	l.level = Level(claims, capacity)
}

// forgetIdle removes the organisations that have asked for almost nothing of late.
func (l *Ledger) forgetIdle(now time.Time) {
	for tag, a := range l.own {
		if a.demand.Value(now, Window) < minKept {
			delete(l.own, tag)
		}
	}
}

// Reports returns the reports for other entries: those of the organisations with the most demand.
func (l *Ledger) Reports(now time.Time) []Report {
	reports := make([]Report, 0, len(l.own))
	for tag, a := range l.own {
		r := Report{Organisation: tag, DemandMs: milliseconds(a.demand.Value(now, Window)), GrantMs: milliseconds(a.granted.Value(now, Window))}
		if r.DemandMs > 0 {
			reports = append(reports, r)
		}
	}
	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Or(cmp.Compare(b.DemandMs, a.DemandMs), cmp.Compare(a.Organisation, b.Organisation))
	})
	return reports[:min(len(reports), MaxReports)]
}

func milliseconds(seconds float64) int64 { return int64(seconds * 1000) }

// Apply takes the reports of the entry with the given origin in place of its earlier ones. It returns
// the number of reports that were dropped: those that can't be true, those of organisations that don't
// exist, and those beyond MaxReports.
func (l *Ledger) Apply(now time.Time, origin uint64, reports []Report, exists func(Tag) bool) (dropped int) {
	s := statement{at: now, claims: make(map[Tag]Claim, min(len(reports), MaxReports))}
	for _, r := range reports {
		if len(s.claims) == MaxReports || !r.Valid() || exists != nil && !exists(r.Organisation) {
			dropped++
			continue
		}
		s.claims[r.Organisation] = Claim{Demand: float64(r.DemandMs) / 1000, Granted: float64(r.GrantMs) / 1000}
	}
	l.others[origin] = s
	return dropped
}

// Forget removes what an entry has reported.
func (l *Ledger) Forget(origin uint64) { delete(l.others, origin) }
