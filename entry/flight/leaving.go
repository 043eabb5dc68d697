package flight

import (
	"slices"
	"sync"

	"acaciacleat.example/core/call"
	"acaciacleat.example/peers/link"
)

// pendingOffers counts, for each agent incarnation, the requests of this entry that have
// chosen it but have not sent their offer yet.
//
// An agent without calls in flight could otherwise stop while a request that has chosen it
// still writes its key's row or opens a link. The offer would reach the agent's next
// incarnation, which does not know what the previous one ran, and the call would fail with
// execution unknown although it never ran. Therefore an agent that leaves waits for a Left
// message from each entry that it notified, and the entry sends it only when each of these
// requests has been offered or no longer uses the agent.
//
// A request that chose the agent after Left was sent would cause the same race. add refuses
// it, under the same lock under which Left is sent.
type pendingOffers struct {
	mu     sync.Mutex
	counts map[call.Incarnation]int
	// leaving holds the links over which agents reported that they leave, until the link
	// closes.
	leaving map[call.Incarnation][]*link.Conn
}

func newPendingOffers() *pendingOffers {
	return &pendingOffers{
		counts:  make(map[call.Incarnation]int),
		leaving: make(map[call.Incarnation][]*link.Conn),
	}
}

// add counts a request that has chosen an agent. It returns false if the agent is leaving;
// the request must then choose another.
func (p *pendingOffers) add(agent call.Incarnation) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.leaving[agent]) > 0 {
		return false
	}
	p.counts[agent]++
	return true
}

// remove ends the count of a request that was offered or that no longer uses the agent. After the
// last one it sends Left if the agent is leaving.
func (p *pendingOffers) remove(agent call.Incarnation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts[agent]--
	if p.counts[agent] > 0 {
		return
	}
	delete(p.counts, agent)
	for _, conn := range p.leaving[agent] {
		sendLeft(conn)
	}
}

// agentLeaving records that an agent leaves, and sends it Left if no request is about to be
// offered to it.
func (p *pendingOffers) agentLeaving(conn *link.Conn) {
	agent := conn.Peer().Incarnation
	p.mu.Lock()
	defer p.mu.Unlock()
	if !slices.Contains(p.leaving[agent], conn) {
		p.leaving[agent] = append(p.leaving[agent], conn)
	}
	if p.counts[agent] == 0 {
		sendLeft(conn)
	}
}

// linkClosed removes a closed link from those of leaving agents.
func (p *pendingOffers) linkClosed(conn *link.Conn) {
	agent := conn.Peer().Incarnation
	p.mu.Lock()
	defer p.mu.Unlock()
	rest := slices.DeleteFunc(p.leaving[agent], func(other *link.Conn) bool { return other == conn })
	if len(rest) == 0 {
		delete(p.leaving, agent)
		return
	}
	p.leaving[agent] = rest
}

// sendLeft tells the agent that no more offers follow. If the link fails, the agent notices
// that it is lost and stops waiting.
func sendLeft(conn *link.Conn) { _ = conn.Send(&link.Left{}) }
