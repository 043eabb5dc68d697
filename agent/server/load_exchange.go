package server

import (
	"context"
	"slices"
	"time"

	"acaciacleat.example/core/load"
	"acaciacleat.example/peers/link"
	"acaciacleat.example/peers/vmlist"
)

const (
	// listInterval is how often an agent reads the list of VMs, for its peers' addresses and
	// for the mark that its own VM is leaving.
	listInterval = 5 * time.Second
	// tickInterval is how often the agent handles expiries and asks core/load whether to send
	// a digest to peers.
	tickInterval = 100 * time.Millisecond
	// maxPeerDigests is the maximum number of peers' digests in a reply to an entry.
	maxPeerDigests = 3
)

// ExchangeLoad sends this agent's load digest to the agents of the same service and zone
// until ctx is done. Agents that serve another model get the digest less often. ExchangeLoad also
// handles expiries and reads the list of VMs.
func (s *Server) ExchangeLoad(ctx context.Context, lister vmlist.Lister) {
	list := time.NewTicker(listInterval)
	defer list.Stop()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	addresses := s.refreshPeers(ctx, lister, nil)
	for {
		select {
		case <-ctx.Done():
			return
		case <-list.C:
			addresses = s.refreshPeers(ctx, lister, addresses)
		case <-tick.C:
			s.expire(time.Now())
			s.sendLoadToPeers(ctx, addresses)
		}
	}
}

// refreshPeers reads the addresses of the agents of the same service and zone. The list does
// not contain the model that an agent serves, so core/load takes it from the agent's digests.
// While the list is unavailable, the previous addresses stay in use.
func (s *Server) refreshPeers(ctx context.Context, lister vmlist.Lister, old map[string]string) map[string]string {
	ctx, cancel := context.WithTimeout(ctx, listInterval)
	defer cancel()
	vms, err := lister.List(ctx)
	if err != nil {
		s.log.Warn().Err(err).Msg("the list of VMs could not be read; the last one stands")
		return old
	}
	if s.newlyMarkedLeaving(vms) {
		s.log.Info().Msg("this VM is marked as leaving in the list of VMs; refusing new calls")
		s.Leave()
	}
	addresses := make(map[string]string)
	var peers []string
	for _, vm := range vms {
		if vm.Role != vmlist.RoleAgent || vm.Service != s.config.Service || vm.Zone != s.config.Zone || vm.ID == s.config.VM {
			continue
		}
		addresses[vm.ID] = vm.Link
		peers = append(peers, vm.ID)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers.SetPeers(peers)
	return addresses
}

// newlyMarkedLeaving reports whether the list marks this VM as leaving and the agent is not
// leaving yet. Entries see the mark as well, but each only when it next reads the list; until
// the last one has, calls would go to a VM that is about to be removed.
func (s *Server) newlyMarkedLeaving(vms []vmlist.VM) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.leaving && slices.ContainsFunc(vms, func(vm vmlist.VM) bool {
		return vm.ID == s.config.VM && vm.Draining
	})
}

// sendLoadToPeers sends this agent's digest to the peers that are due for one. Most of the time
// there are none.
func (s *Server) sendLoadToPeers(ctx context.Context, addresses map[string]string) {
	now := time.Now()
	s.mu.Lock()
	own := s.report()
	digest := toDigest(&own, now)
	s.peers.SetModel(s.model)
	to := s.peers.Recipients(now, &digest)
	s.mu.Unlock()
	for _, vm := range to {
		go s.sendLoads(ctx, vm, addresses[vm], &link.Loads{Reports: []link.LoadReport{own}})
	}
}

// sendLoads sends digests to one peer. It ignores failures, because the next digest replaces
// this one.
func (s *Server) sendLoads(ctx context.Context, vm, addr string, loads *link.Loads) {
	c, err := s.node.Dial(ctx, vm, addr)
	if err == nil {
		_ = c.Send(loads)
	}
}

// onLoads records the digests of peers and the highest revision among them.
func (s *Server) onLoads(m *link.Loads) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range m.Reports {
		s.revision = max(s.revision, m.Reports[i].Revision)
		s.peers.Receive(toDigest(&m.Reports[i], now))
	}
}

// peerLoads returns the digests of the least loaded peers for a reply, or nil if there are
// none. It is called with mu held.
func (s *Server) peerLoads(now time.Time) *link.Loads {
	best := s.peers.LeastLoaded(now, maxPeerDigests)
	if len(best) == 0 {
		return nil
	}
	loads := &link.Loads{}
	for i := range best {
		loads.Reports = append(loads.Reports, fromDigest(&best[i], now))
	}
	return loads
}

func toDigest(r *link.LoadReport, now time.Time) load.Report {
	return load.Report{
		Agent:       r.Agent,
		Incarnation: r.Incarnation,
		Model:       r.Model,
		Leaving:     r.Leaving,
		Load:        r.Load,
		TakenAt:     now.Add(-time.Duration(r.AgeMs) * time.Millisecond),
	}
}

func fromDigest(d *load.Report, now time.Time) link.LoadReport {
	return link.LoadReport{
		Agent:       d.Agent,
		Incarnation: d.Incarnation,
		Model:       d.Model,
		Leaving:     d.Leaving,
		AgeMs:       now.Sub(d.TakenAt).Milliseconds(),
		Load:        d.Load,
	}
}
