package directory

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"acaciacleat.example/core/follow"
	"github.com/stretchr/testify/require"
)

// historiesVariable sets how many histories TestRegistryHistories plays, defaultHistories is their number without it.
const (
	historiesVariable = "ACACIACLEAT_REGISTRY_HISTORIES"
	defaultHistories  = 1500
)

const (
	// renewInterval is the interval at which upstreams renew their registrations, missedRenewals the number
	// after which a registration lapses.
	renewInterval  = 1200 * time.Millisecond
	missedRenewals = 3
	historySteps   = 300
	historyStep    = 100 * time.Millisecond
)

// history is a random sequence of disruptions of a registry, and what follows from them for its upstreams.
type history struct {
	random *rand.Rand
	r      *simulatedRegistry
	u      fleetUpstreams
	// follower is nil for an entry that reads alone.
	follower *simulatedFollower

	// registryAway, cut and followerSilent are the ends of an outage of the registry, of a cut of this entry alone
	// and of a silence of the follower. followerFailed is set if the follower's last read failed.
	registryAway, cut, followerSilent time.Time
	followerFailed                    bool
	// outageEnd and troubleEnd are when the registry, or anything at all, was last disrupted.
	outageBegan, outageEnd, troubleEnd time.Time
	// leftAt is when an upstream left for good, zero for one that lives; stable says that the registry was
	// then. lapsed upstreams live and register again at backAt.
	leftAt [3]time.Time
	stable [3]bool
	lapsed [3]bool
	backAt [3]time.Time
	// lapsedIn is the beginning of the outage in which it lapsed.
	lapsedIn [3]time.Time
	// used are the upstreams that were used at the last check, usedBefore those before the last outage.
	used, usedBefore map[string]bool
	// renewed is how long before the last outage an upstream had renewed its registration.
	renewed [3]time.Duration
	log     []string
}

func (h *history) note(format string, args ...any) {
	h.log = append(h.log, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

func (h *history) duration(from, to time.Duration) time.Duration {
	return from + time.Duration(h.random.Int64N(int64(to-from)))
}

func (h *history) inOutage() bool { return time.Now().Before(h.registryAway) }

// disrupt may begin a disruption.
func (h *history) disrupt() {
	now := time.Now()
	switch h.random.IntN(100) {
	case 0:
		h.r.goSilent()
		h.troubleEnd = now
		h.note("connections go silent")
	case 1:
		if h.inOutage() || now.Before(h.cut) {
			return
		}
		hangs := h.random.IntN(2) == 0
		h.registryAway = now.Add(h.duration(500*time.Millisecond, 7*time.Second))
		h.outageBegan, h.usedBefore = now, h.used
		for i := range h.renewed {
			h.renewed[i] = h.duration(0, renewInterval)
		}
		h.r.goAway(hangs)
		h.note("registry away for %s, hangs %t", time.Until(h.registryAway), hangs)
	case 2:
		if h.inOutage() || now.Before(h.cut) {
			return
		}
		h.cut = now.Add(h.duration(200*time.Millisecond, 4*time.Second))
		h.r.goAway(h.r.hangs)
		h.note("entry cut off for %s", time.Until(h.cut))
	case 3, 4:
		h.followerSilent = now.Add(h.duration(200*time.Millisecond, 4*time.Second))
		h.note("follower silent for %s", time.Until(h.followerSilent))
	case 5, 6:
		if i := h.random.IntN(len(h.leftAt)); !h.inOutage() && h.leftAt[i].IsZero() && !h.lapsed[i] {
			h.leftAt[i], h.stable[i] = now, now.Sub(h.outageEnd) > stableWindow
			h.r.remove(i)
			h.note("u-%d leaves", i)
		}
	}
}

// proceed ends disruptions that are over and lets registrations lapse and come back.
func (h *history) proceed() {
	now := time.Now()
	for i := range h.lapsed {
		switch {
		case h.inOutage() && !h.lapsed[i] && h.leftAt[i].IsZero() && now.Sub(h.outageBegan)+h.renewed[i] >= missedRenewals*renewInterval:
			h.lapsed[i], h.lapsedIn[i], h.backAt[i] = true, h.outageBegan, h.registryAway.Add(h.duration(100*time.Millisecond, returnBound))
			h.r.remove(i)
			h.note("u-%d lapses", i)
		case h.lapsed[i] && h.inOutage():
			h.backAt[i] = h.registryAway.Add(h.duration(100*time.Millisecond, returnBound))
		case h.lapsed[i] && !now.Before(h.backAt[i]):
			h.lapsed[i] = false
			h.r.write(registered(i))
			h.note("u-%d is back", i)
		}
	}
	if !h.registryAway.IsZero() && !h.inOutage() {
		h.registryAway = time.Time{}
		h.outageEnd, h.troubleEnd = now, now
		h.r.comeBack()
		h.note("registry is back")
	}
	if !h.cut.IsZero() && !now.Before(h.cut) {
		h.cut = time.Time{}
		h.troubleEnd = now
		if !h.inOutage() {
			h.r.comeBack()
		}
		h.note("cut is over")
	}
}

// confirm lets the follower tell what it has read.
func (h *history) confirm() {
	switch {
	case h.follower == nil || time.Now().Before(h.followerSilent):
	case h.inOutage():
		h.followerFailed = true
	default:
		h.follower.confirm(h.followerFailed)
		h.followerFailed = false
	}
}

// check returns what is wrong: an upstream is used that has left for too long, or one is unused that lives and has only
// lapsed. The latter counts until returnBound after the registry's return; what is missing then counts as gone.
func (h *history) check() (violation string) {
	now := time.Now()
	inTouch := h.registryAway.IsZero() && h.cut.IsZero() && now.Sub(h.troubleEnd) > stableWindow
	used := h.u.used()
	h.used = used
	for i := range h.leftAt {
		id := fmt.Sprint("u-", i)
		if !h.leftAt[i].IsZero() && h.stable[i] && inTouch && now.Sub(h.leftAt[i]) > removalBound && used[id] {
			return fmt.Sprintf("%s is used %s after it has left", id, now.Sub(h.leftAt[i]))
		}
		mayRegister := h.lapsedIn[i] == h.outageBegan && (h.inOutage() || now.Sub(h.outageEnd) <= returnBound)
		if h.lapsed[i] && mayRegister && h.usedBefore[id] && !used[id] {
			return id + " lives and isn't used"
		}
	}
	return ""
}

// Guards against both at once, in random histories of disruptions: sends to an upstream later than the bound after its
// removal, and live upstreams that are dropped because their registrations lapsed in an outage.
func TestRegistryHistories(t *testing.T) {
	histories := defaultHistories
	if text := os.Getenv(historiesVariable); text != "" {
		var err error
		histories, err = strconv.Atoi(text)
		require.NoError(t, err, historiesVariable)
	}
	for seed := range uint64(histories) {
		role := follow.Standalone
		if seed%2 == 1 {
			role = follow.Listener
		}
		violation, log := "", []string(nil)
		simulate(t, role, func(k *Keeper, r *simulatedRegistry, u fleetUpstreams) {
			h := &history{random: rand.New(rand.NewPCG(seed, 1)), r: r, u: u, outageEnd: time.Now().Add(-time.Minute)}
			if role == follow.Listener {
				h.follower = &simulatedFollower{k: k, r: r, read: uint64(len(r.changes))}
			}
			for step := 0; step < historySteps && violation == ""; step++ {
				h.proceed()
				h.disrupt()
				if step%3 == 0 {
					h.confirm()
				}
				time.Sleep(historyStep)
				synctest.Wait()
				violation, log = h.check(), h.log
			}
		})
		require.Empty(t, violation, "seed %d: %v", seed, log)
	}
}
