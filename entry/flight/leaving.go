package flight

import (
	"slices"
	"sync"

	"acaciacleat.example/core/call"
	"acaciacleat.example/peers/link"
)

// choices counts, for each agent incarnation, the requests of this entry that have chosen
// it and have not offered themselves yet.
//
// What goes wrong without it: an agent with nothing in hand stops while a request that has
// chosen it still writes its key's row, or opens a link; the offer then comes to the
// agent's successor, which can't say what the other ran, and the call fails as unknown
// though it never ran. So an agent that leaves waits for the word of each entry that it
// told, and the entry gives it only when the last of these requests is offered.
//
// A request that chooses the agent after the word is given would open the race again:
// begin refuses it, under the lock that the word is decided under.
type choices struct {
	mu      sync.Mutex
	pending map[call.Incarnation]int
	// leaving holds the links over which agents said that they leave, until the link ends.
	leaving map[call.Incarnation][]*link.Conn
}

func newChoices() *choices {
	return &choices{
		pending: make(map[call.Incarnation]int),
		leaving: make(map[call.Incarnation][]*link.Conn),
	}
}

// begin counts a request that has chosen an agent. It returns false when the agent leaves:
// the request must choose another.
func (c *choices) begin(agent call.Incarnation) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.leaving[agent]) > 0 {
		return false
	}
	c.pending[agent]++
	return true
}

// end uncounts a request that was offered, or that has left the agent.
func (c *choices) end(agent call.Incarnation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending[agent]--
	if c.pending[agent] > 0 {
		return
	}
	delete(c.pending, agent)
	for _, conn := range c.leaving[agent] {
		sayLeft(conn)
	}
}

// left records that an agent leaves, and gives it the word if no request has chosen it.
func (c *choices) left(conn *link.Conn) {
	agent := conn.Peer().Incarnation
	c.mu.Lock()
	defer c.mu.Unlock()
	if !slices.Contains(c.leaving[agent], conn) {
		c.leaving[agent] = append(c.leaving[agent], conn)
	}
	if c.pending[agent] == 0 {
		sayLeft(conn)
	}
}

// closed forgets an agent that left with its link.
func (c *choices) closed(conn *link.Conn) {
	agent := conn.Peer().Incarnation
	c.mu.Lock()
	defer c.mu.Unlock()
	rest := slices.DeleteFunc(c.leaving[agent], func(other *link.Conn) bool { return other == conn })
	if len(rest) == 0 {
		delete(c.leaving, agent)
		return
	}
	c.leaving[agent] = rest
}

// sayLeft gives the word. Where the link fails it, the agent learns that the link is gone
// and waits no more.
func sayLeft(conn *link.Conn) { _ = conn.Send(&link.Left{}) }
