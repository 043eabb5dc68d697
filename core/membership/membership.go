// Package membership derives one routing state for each VM from three sources: the
// platform's list of VMs, which lags, the evidence of the process's own links, and the
// agents' announcements that they are leaving. It does no I/O: events and the time go in,
// actions come out.
//
// The process's own evidence takes precedence over the list, because it is newer. The list
// only says which VMs exist and which are leaving, and no VM is removed because of the
// list alone.
package membership

import (
	"slices"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/routing"
)

// ID names a VM in the list of VMs.
type ID string

// VM is one line of the list.
type VM struct {
	ID      ID
	Zone    string
	Link    string
	Service string
	Leaving bool
}

// Config holds the settings of a View.
type Config struct {
	// SuspectTimeout is how long a VM may be suspected before it counts as dead.
	SuspectTimeout time.Duration
	// MinProbeInterval and MaxProbeInterval bound the time between two probes of a suspected or
	// dead VM, which doubles with each probe.
	MinProbeInterval, MaxProbeInterval time.Duration
	// UnlistedProbeInterval is the time between two probes of a VM that is not listed.
	UnlistedProbeInterval time.Duration
	// ForgetAfter is how long a dead VM that is not listed is still probed.
	ForgetAfter time.Duration
	// MaxProbesPerTick bounds the probes of one tick.
	MaxProbesPerTick int
	// MaxMissingShare is the largest share of the listed VMs that may be missing in a new list.
	// A list that lacks more is rejected for up to RejectListFor.
	MaxMissingShare float64
	RejectListFor   time.Duration
}

// DefaultConfig returns the settings for links that report a timeout after 1.5 s.
func DefaultConfig() Config {
	return Config{
		// A dead VM under load is suspected, and gets no more requests, after 1.5 s, within the
		// target of 2 s; it counts as dead one second later.
		SuspectTimeout:        time.Second,
		MinProbeInterval:      250 * time.Millisecond,
		MaxProbeInterval:      5 * time.Second,
		UnlistedProbeInterval: 5 * time.Second,
		// Lets a VM come back if both the list and the evidence wrongly showed that it is gone.
		ForgetAfter: time.Minute,
		// A probe is about 60 bytes, so the 16 probes of a tick are 1 KB.
		MaxProbesPerTick: 16,
		MaxMissingShare:  0.5,
		// The longest that the platform may take to repair the list. Until then the VMs that the
		// list lacks still count as listed.
		RejectListFor: 10 * time.Minute,
	}
}

// Reason says why a VM has its state.
type Reason string

// The reasons as they are logged.
const (
	ReasonListed           Reason = "the list shows the VM"
	ReasonReplied          Reason = "a link had a reply"
	ReasonSilent           Reason = "a link went silent"
	ReasonSuspicionExpired Reason = "no reply since the link went silent"
	ReasonRefused          Reason = "a connection was refused"
	ReasonAgentLeaving     Reason = "the agent said that it is leaving"
	ReasonListLeaving      Reason = "the list says that the VM is leaving"
)

// Action is an instruction to the caller. It is one of the types below.
type Action interface{ action() }

// StateChanged reports the new state of a VM.
type StateChanged struct {
	VM     VM
	State  routing.State
	Reason Reason
}

// Probe asks for a message exchange with a VM over a new connection: an old one may stay silent
// although the VM is healthy. The caller reports the outcome to HandleMessage,
// HandleTimeout or HandleRefusal.
type Probe struct{ VM VM }

// Removed reports that a VM was removed because it is neither listed nor alive.
type Removed struct{ ID ID }

func (StateChanged) action() {}
func (Probe) action()        {}
func (Removed) action()      {}

// evidence is the last observation of a VM by the process's own links.
type evidence uint8

const (
	noEvidence evidence = iota
	replied
	silent
	refused
)

// maxPastIncarnations bounds the remembered past incarnations of a VM's process. A process does
// not restart more often than this while one late message is in flight.
const maxPastIncarnations = 4

// member is the state of one VM.
type member struct {
	vm     VM
	listed bool
	// listedLeaving says that the list showed the VM as leaving. It is never reset: a VM that
	// comes back has another ID.
	listedLeaving bool

	incarnation      call.Incarnation
	pastIncarnations []call.Incarnation
	// agentLeaving says that the current incarnation announced that it is leaving.
	agentLeaving bool

	evidence evidence
	// lastReply is when the last reply arrived, silentSince the first timeout after it.
	lastReply   time.Time
	silentSince time.Time

	state         routing.State
	stateSince    time.Time
	nextProbe     time.Time
	probeInterval time.Duration
}

// View is one process's view of the VMs. It is not safe for concurrent use.
type View struct {
	config           Config
	members          map[ID]*member
	order            []ID
	implausibleSince time.Time
}

// New returns a View without VMs.
func New(config Config) *View {
	return &View{config: config, members: make(map[ID]*member)}
}

// State returns the state of a VM. An unknown VM is Dead.
func (v *View) State(id ID) routing.State {
	if m := v.members[id]; m != nil {
		return m.state
	}
	return routing.Dead
}

// Each calls yield for each known VM, ordered by ID.
func (v *View) Each(yield func(VM, routing.State)) {
	for _, id := range v.order {
		yield(v.members[id].vm, v.members[id].state)
	}
}

// ListImplausible reports whether the last list lacked too many VMs, even if it was applied
// because RejectListFor had passed.
func (v *View) ListImplausible() bool { return !v.implausibleSince.IsZero() }

// HandleList handles a list that was just read.
func (v *View) HandleList(now time.Time, list []VM) []Action {
	listed := make(map[ID]bool, len(list))
	var actions []Action
	for _, vm := range list {
		listed[vm.ID] = true
		actions = v.addListed(now, actions, vm)
	}
	if v.rejectsList(now, listed) {
		return actions
	}
	for _, id := range v.order {
		m := v.members[id]
		if m.listed && !listed[id] {
			m.listed = false
			m.nextProbe = now
		}
	}
	return actions
}

func (v *View) addListed(now time.Time, actions []Action, vm VM) []Action {
	m := v.members[vm.ID]
	if m == nil {
		// A new VM counts as live, unless it is listed as leaving: it starts as Dead only so
		// that updateState reports the change. If it is not live, the refusal of the first
		// request sent to it proves that the request did not run, and the request is sent to
		// another VM.
		m = &member{state: routing.Dead}
		v.members[vm.ID] = m
		i, _ := slices.BinarySearch(v.order, vm.ID)
		v.order = slices.Insert(v.order, i, vm.ID)
	}
	m.vm = vm
	m.listed = true
	m.listedLeaving = m.listedLeaving || vm.Leaving
	return v.updateState(now, actions, m)
}

// rejectsList reports whether the list is rejected because it lacks too many VMs at once, and
// records since when the lists have been implausible.
//
// Without the rejection a truncated list would make every entry probe most VMs at the same time,
// and forget those that are dead for ForgetAfter although they still exist. If so many VMs are really lost,
// the links show it as well.
func (v *View) rejectsList(now time.Time, listed map[ID]bool) bool {
	known, missing := 0, 0
	for id, m := range v.members {
		if m.listed {
			known++
			if !listed[id] {
				missing++
			}
		}
	}
	if float64(missing) <= v.config.MaxMissingShare*float64(known) {
		v.implausibleSince = time.Time{}
		return false
	}
	if v.implausibleSince.IsZero() {
		v.implausibleSince = now
	}
	return now.Sub(v.implausibleSince) < v.config.RejectListFor
}

// HandleMessage handles any message from the given incarnation of a VM's process.
func (v *View) HandleMessage(now time.Time, id ID, incarnation call.Incarnation) []Action {
	m := v.members[id]
	if m == nil || !m.observeIncarnation(incarnation) {
		return nil
	}
	m.evidence = replied
	m.lastReply = now
	return v.updateState(now, nil, m)
}

// HandleLeaving handles an agent's announcement that it is leaving. It applies to this
// incarnation only: the next process on the VM may stay.
func (v *View) HandleLeaving(now time.Time, id ID, incarnation call.Incarnation) []Action {
	m := v.members[id]
	if m == nil || !m.observeIncarnation(incarnation) {
		return nil
	}
	m.agentLeaving = true
	return v.updateState(now, nil, m)
}

// HandleTimeout handles the timeout of a message that was sent at sentAt.
func (v *View) HandleTimeout(now time.Time, id ID, sentAt time.Time) []Action {
	m := v.members[id]
	// If the VM has replied since, the connection has failed and not the VM.
	if m == nil || m.evidence == refused || m.lastReply.After(sentAt) {
		return nil
	}
	if m.evidence != silent {
		m.evidence = silent
		m.silentSince = now
		m.nextProbe = now
		m.probeInterval = v.config.MinProbeInterval
	}
	return v.updateState(now, nil, m)
}

// HandleRefusal handles the refusal of a new connection: no process listens on the VM.
func (v *View) HandleRefusal(now time.Time, id ID) []Action {
	m := v.members[id]
	if m == nil {
		return nil
	}
	if m.evidence != refused {
		m.evidence = refused
		m.nextProbe = now.Add(v.config.MinProbeInterval)
		m.probeInterval = v.config.MinProbeInterval
	}
	return v.updateState(now, nil, m)
}

// Tick handles the passing of time. It must be called about every 100 ms.
func (v *View) Tick(now time.Time) []Action {
	var actions []Action
	probes := 0
	for _, id := range slices.Clone(v.order) {
		m := v.members[id]
		actions = v.updateState(now, actions, m)
		if m.state == routing.Dead && !m.listed && now.Sub(m.stateSince) >= v.config.ForgetAfter {
			v.removeMember(id)
			actions = append(actions, Removed{ID: id})
			continue
		}
		if probes < v.config.MaxProbesPerTick && v.takeDueProbe(now, m) {
			probes++
			actions = append(actions, Probe{VM: m.vm})
		}
	}
	return actions
}

func (v *View) removeMember(id ID) {
	delete(v.members, id)
	i, _ := slices.BinarySearch(v.order, id)
	v.order = slices.Delete(v.order, i, i+1)
}

// takeDueProbe reports whether to probe a VM now, and if so schedules the next probe. VMs that
// were silent or refused a connection are probed so that the first answer makes them live again,
// and VMs that are not listed to detect when they are gone.
func (v *View) takeDueProbe(now time.Time, m *member) bool {
	unresponsive := m.evidence == silent || m.evidence == refused
	if now.Before(m.nextProbe) || (m.listed && !unresponsive) {
		return false
	}
	if !unresponsive {
		m.nextProbe = now.Add(v.config.UnlistedProbeInterval)
		return true
	}
	m.nextProbe = now.Add(m.probeInterval)
	m.probeInterval = min(2*m.probeInterval, v.config.MaxProbeInterval)
	return true
}

// observeIncarnation records an incarnation and reports whether it is the newest. Incarnations
// are random numbers without an order, so an old one is recognised because it was replaced.
func (m *member) observeIncarnation(incarnation call.Incarnation) bool {
	if incarnation == m.incarnation {
		return true
	}
	if slices.Contains(m.pastIncarnations, incarnation) {
		return false
	}
	if m.incarnation != 0 {
		m.pastIncarnations = append(m.pastIncarnations, m.incarnation)
		m.pastIncarnations = m.pastIncarnations[max(0, len(m.pastIncarnations)-maxPastIncarnations):]
	}
	m.incarnation = incarnation
	m.agentLeaving = false
	return true
}

// updateState updates a VM's state and returns a StateChanged action if it differs.
func (v *View) updateState(now time.Time, actions []Action, m *member) []Action {
	state, reason := v.deriveState(now, m)
	if state == m.state {
		return actions
	}
	m.state = state
	m.stateSince = now
	return append(actions, StateChanged{VM: m.vm, State: state, Reason: reason})
}

func (v *View) deriveState(now time.Time, m *member) (routing.State, Reason) {
	switch {
	case m.evidence == refused:
		return routing.Dead, ReasonRefused
	case m.evidence == silent && now.Sub(m.silentSince) >= v.config.SuspectTimeout:
		return routing.Dead, ReasonSuspicionExpired
	case m.agentLeaving:
		return routing.Leaving, ReasonAgentLeaving
	case m.listedLeaving:
		return routing.Leaving, ReasonListLeaving
	case m.evidence == silent:
		return routing.Suspect, ReasonSilent
	case m.evidence == replied:
		return routing.Live, ReasonReplied
	default:
		return routing.Live, ReasonListed
	}
}
