// Package membership merges what a process knows of the VMs into one routing state for
// each: the platform's list, which lags, the evidence of the process's own links, and an
// agent's own word that it is leaving. Its decisions are pure: events and the time go
// in, actions come out.
//
// Own evidence goes before the list, because it is newer: the list says only which VMs
// to know of and which are leaving. No VM is removed on the list's word alone.
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

// Config bounds the decisions in time.
type Config struct {
	// SuspectBound is how long a VM may be suspected before it counts as dead.
	SuspectBound time.Duration
	// ProbeMin and ProbeMax bound the time between two probes of a dead VM, which doubles.
	ProbeMin, ProbeMax time.Duration
	// UnlistedProbe is the time between two probes of a VM that the list lacks.
	UnlistedProbe time.Duration
	// ForgetBound is how long a dead VM that the list lacks is still probed.
	ForgetBound time.Duration
	// ProbesPerTick bounds the probes of one tick.
	ProbesPerTick int
	// DropShare is the share of the listed VMs above which a list that lacks them all
	// at once is doubted, and DoubtBound how long it is.
	DropShare  float64
	DoubtBound time.Duration
}

// DefaultConfig returns the settings for links that report silence after 1.5 s. A dead
// upstream under load is then suspected, and so given no work, after 1.5 s, where the aim
// is 2 s, and counts as dead a second later. A probe is some 60 bytes: the 16 of a tick
// are 1 KB. A list is doubted for as long as the platform may take to mend it; until
// then nothing but the VMs' own silence takes them out. A dead VM that the list lacks is
// probed for a minute more, in case that both were wrong.
func DefaultConfig() Config {
	return Config{
		SuspectBound:  time.Second,
		ProbeMin:      250 * time.Millisecond,
		ProbeMax:      5 * time.Second,
		UnlistedProbe: 5 * time.Second,
		ForgetBound:   time.Minute,
		ProbesPerTick: 16,
		DropShare:     0.5,
		DoubtBound:    10 * time.Minute,
	}
}

// Reason says what led to a state.
type Reason string

// The reasons.
const (
	ReasonListed     Reason = "the list shows the VM"
	ReasonReplied    Reason = "a link had a reply"
	ReasonSilent     Reason = "a link went silent"
	ReasonStillMute  Reason = "no reply since the link went silent"
	ReasonRefused    Reason = "a connection was refused"
	ReasonSaidSo     Reason = "the agent said that it is leaving"
	ReasonListLeaves Reason = "the list says that the VM is leaving"
)

// Action is what the caller must do; it is one of the types below.
type Action interface{ action() }

// Changed tells the new state of a VM.
type Changed struct {
	VM     VM
	State  routing.State
	Reason Reason
}

// Probe asks for a sign of life over a new connection: an old one may be silent for good
// although its VM is well. Its outcome comes back as Replied, Silent or Refused.
type Probe struct{ VM VM }

// Forgotten tells that a VM is neither in the list nor alive; nothing of it is kept.
type Forgotten struct{ ID ID }

func (Changed) action()   {}
func (Probe) action()     {}
func (Forgotten) action() {}

// evidence is what the process's own links tell of a VM.
type evidence uint8

const (
	noEvidence evidence = iota
	replied
	silent
	refused
)

// maxPast bounds the remembered past incarnations of a VM's process: more restarts than
// that within the life of one late message don't happen.
const maxPast = 4

// member is what is known of one VM.
type member struct {
	vm     VM
	listed bool
	// leaving is the list's word. It stays: a VM that comes back has another ID.
	leaving bool

	current call.Incarnation
	past    []call.Incarnation
	// left says that the current incarnation told that it is leaving.
	left bool

	evidence evidence
	// lastReply is when the newest reply came, silentSince when the first silence after it.
	lastReply   time.Time
	silentSince time.Time

	state      routing.State
	stateSince time.Time
	nextProbe  time.Time
	probeWait  time.Duration
}

// View is one process's view of the VMs. It is not safe for concurrent use.
type View struct {
	config     Config
	members    map[ID]*member
	order      []ID
	doubtSince time.Time
}

// New returns a View that knows of no VM.
func New(config Config) *View {
	return &View{config: config, members: make(map[ID]*member)}
}

// State returns the state of a VM; one that isn't known is Dead.
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

// Doubted reports whether the newest list lacked so many VMs that it isn't believed.
func (v *View) Doubted() bool { return !v.doubtSince.IsZero() }

// Listed takes the list as it was just read.
func (v *View) Listed(now time.Time, list []VM) []Action {
	shown := make(map[ID]bool, len(list))
	var actions []Action
	for _, vm := range list {
		shown[vm.ID] = true
		actions = v.show(now, actions, vm)
	}
	if v.doubt(now, shown) {
		return actions
	}
	for _, id := range v.order {
		m := v.members[id]
		if m.listed && !shown[id] {
			m.listed = false
			m.nextProbe = now
		}
	}
	return actions
}

func (v *View) show(now time.Time, actions []Action, vm VM) []Action {
	m := v.members[vm.ID]
	if m == nil {
		// A new VM counts as live: if it isn't, the first offer's refusal proves that the
		// request did not run, and it goes elsewhere.
		m = &member{state: routing.Dead}
		v.members[vm.ID] = m
		place, _ := slices.BinarySearch(v.order, vm.ID)
		v.order = slices.Insert(v.order, place, vm.ID)
	}
	m.vm = vm
	m.listed = true
	m.leaving = m.leaving || vm.Leaving
	return v.settle(now, actions, m)
}

// doubt reports whether the list lacks too many VMs at once to be believed.
//
// What goes wrong: the platform's list is cut short, and every entry forgets most of the
// fleet at the same moment. A mass loss that is real shows in the links as well.
func (v *View) doubt(now time.Time, shown map[ID]bool) bool {
	listed, missing := 0, 0
	for id, m := range v.members {
		if m.listed {
			listed++
			if !shown[id] {
				missing++
			}
		}
	}
	if float64(missing) <= v.config.DropShare*float64(listed) {
		v.doubtSince = time.Time{}
		return false
	}
	if v.doubtSince.IsZero() {
		v.doubtSince = now
	}
	return now.Sub(v.doubtSince) < v.config.DoubtBound
}

// Replied takes a sign of life: any message of the given incarnation of a VM's process.
func (v *View) Replied(now time.Time, id ID, incarnation call.Incarnation) []Action {
	m := v.members[id]
	if m == nil || !m.meet(incarnation) {
		return nil
	}
	m.evidence = replied
	m.lastReply = now
	return v.settle(now, nil, m)
}

// Left takes an agent's word that it is leaving. It holds for this incarnation only: the
// next process on the VM may be there to stay.
func (v *View) Left(now time.Time, id ID, incarnation call.Incarnation) []Action {
	m := v.members[id]
	if m == nil || !m.meet(incarnation) {
		return nil
	}
	m.left = true
	return v.settle(now, nil, m)
}

// Silent takes that a message sent at sent had no answer in the time for it.
func (v *View) Silent(now time.Time, id ID, sent time.Time) []Action {
	m := v.members[id]
	// A reply since then means that the connection went silent and not the VM.
	if m == nil || m.evidence == refused || m.lastReply.After(sent) {
		return nil
	}
	if m.evidence != silent {
		m.evidence = silent
		m.silentSince = now
		m.nextProbe = now
		m.probeWait = v.config.ProbeMin
	}
	return v.settle(now, nil, m)
}

// Refused takes that a new connection was refused: no process listens on the VM.
func (v *View) Refused(now time.Time, id ID) []Action {
	m := v.members[id]
	if m == nil {
		return nil
	}
	if m.evidence != refused {
		m.evidence = refused
		m.nextProbe = now.Add(v.config.ProbeMin)
		m.probeWait = v.config.ProbeMin
	}
	return v.settle(now, nil, m)
}

// Tick moves time on; it is to be called about every 100 ms.
func (v *View) Tick(now time.Time) []Action {
	var actions []Action
	probes := 0
	for _, id := range slices.Clone(v.order) {
		m := v.members[id]
		actions = v.settle(now, actions, m)
		if m.state == routing.Dead && !m.listed && now.Sub(m.stateSince) >= v.config.ForgetBound {
			v.forget(id)
			actions = append(actions, Forgotten{ID: id})
			continue
		}
		if probes < v.config.ProbesPerTick && v.wantsProbe(now, m) {
			probes++
			actions = append(actions, Probe{VM: m.vm})
		}
	}
	return actions
}

func (v *View) forget(id ID) {
	delete(v.members, id)
	place, _ := slices.BinarySearch(v.order, id)
	v.order = slices.Delete(v.order, place, place+1)
}

// wantsProbe reports whether a VM is to be probed now, and sets when the next time is. A
// wrong suspicion ends with the first probe that is answered.
func (v *View) wantsProbe(now time.Time, m *member) bool {
	doubtful := m.evidence == silent || m.evidence == refused
	if now.Before(m.nextProbe) || (m.listed && !doubtful) {
		return false
	}
	if !doubtful {
		m.nextProbe = now.Add(v.config.UnlistedProbe)
		return true
	}
	m.nextProbe = now.Add(m.probeWait)
	m.probeWait = min(2*m.probeWait, v.config.ProbeMax)
	return true
}

// meet notes an incarnation and reports whether it is the newest. Incarnations are
// random, so that only having been replaced tells an old one.
func (m *member) meet(incarnation call.Incarnation) bool {
	if incarnation == m.current {
		return true
	}
	if slices.Contains(m.past, incarnation) {
		return false
	}
	if m.current != 0 {
		m.past = append(m.past, m.current)
		m.past = m.past[max(0, len(m.past)-maxPast):]
	}
	m.current = incarnation
	m.left = false
	return true
}

// settle brings a VM's state in line with what is known and tells of a change.
func (v *View) settle(now time.Time, actions []Action, m *member) []Action {
	state, reason := v.judge(now, m)
	if state == m.state {
		return actions
	}
	m.state = state
	m.stateSince = now
	return append(actions, Changed{VM: m.vm, State: state, Reason: reason})
}

func (v *View) judge(now time.Time, m *member) (routing.State, Reason) {
	switch {
	case m.evidence == refused:
		return routing.Dead, ReasonRefused
	case m.evidence == silent && now.Sub(m.silentSince) >= v.config.SuspectBound:
		return routing.Dead, ReasonStillMute
	case m.left:
		return routing.Leaving, ReasonSaidSo
	case m.leaving:
		return routing.Leaving, ReasonListLeaves
	case m.evidence == silent:
		return routing.Suspect, ReasonSilent
	case m.evidence == replied:
		return routing.Live, ReasonReplied
	default:
		return routing.Live, ReasonListed
	}
}
