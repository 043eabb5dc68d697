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
	// listEvery is how often an agent reads the list of VMs: for its peers' addresses and for
	// the mark that its own VM is leaving.
	listEvery = 5 * time.Second
	// tellEvery is how often the clock moves on: what has expired ends, and core/load is asked
	// whether the peers must be told.
	tellEvery = 100 * time.Millisecond
	// bestPeers is the number of peers' digests that a reply to an entry carries.
	bestPeers = 3
)

// Tell keeps the agents of the same service and zone informed of this one's load, those
// of other models seldom, and learns theirs, until ctx ends.
func (s *Server) Tell(ctx context.Context, lister vmlist.Lister) {
	list := time.NewTicker(listEvery)
	defer list.Stop()
	ask := time.NewTicker(tellEvery)
	defer ask.Stop()
	addresses := s.readGroup(ctx, lister, nil)
	for {
		select {
		case <-ctx.Done():
			return
		case <-list.C:
			addresses = s.readGroup(ctx, lister, addresses)
		case <-ask.C:
			s.expire(time.Now())
			s.tellGroup(ctx, addresses)
		}
	}
}

// readGroup reads the addresses of the agents of the same service and zone; the list does
// not say which model they serve, so core/load tells them apart by their digests. While the list is down, the group stays as it was.
func (s *Server) readGroup(ctx context.Context, lister vmlist.Lister, old map[string]string) map[string]string {
	ctx, cancel := context.WithTimeout(ctx, listEvery)
	defer cancel()
	vms, err := lister.List(ctx)
	if err != nil {
		s.log.Warn().Err(err).Msg("the list of VMs could not be read; the last one stands")
		return old
	}
	if s.markedLeaving(vms) {
		s.log.Info().Msg("the list of VMs marks this one as leaving; no new work is taken")
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
	s.group.SetPeers(peers)
	return addresses
}

// markedLeaving tells whether the list marks this VM as leaving and the agent does not
// know yet. Entries read the mark too, each when it next reads the list; until the last of
// them has, calls would go to a VM that is about to be taken away.
func (s *Server) markedLeaving(vms []vmlist.VM) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.leaving && slices.ContainsFunc(vms, func(vm vmlist.VM) bool {
		return vm.ID == s.config.VM && vm.Draining
	})
}

func (s *Server) tellGroup(ctx context.Context, addresses map[string]string) {
	now := time.Now()
	s.mu.Lock()
	own := s.report()
	digest := toDigest(&own, now)
	s.group.SetModel(s.model)
	to := s.group.Recipients(now, &digest)
	s.mu.Unlock()
	for _, vm := range to {
		go s.tell(ctx, vm, addresses[vm], &link.Loads{Reports: []link.LoadReport{own}})
	}
}

// tell sends a digest to one peer. A peer that can not be reached misses it; the next
// digest replaces it anyway.
func (s *Server) tell(ctx context.Context, vm, addr string, loads *link.Loads) {
	c, err := s.node.Dial(ctx, vm, addr)
	if err == nil {
		_ = c.Send(loads)
	}
}

func (s *Server) onLoads(m *link.Loads) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range m.Reports {
		s.revision = max(s.revision, m.Reports[i].Revision)
		s.group.Receive(toDigest(&m.Reports[i], now))
	}
}

// peerLoads returns the digests of the least loaded peers for a reply. It is called with
// mu held.
func (s *Server) peerLoads(now time.Time) *link.Loads {
	best := s.group.LeastLoaded(now, bestPeers)
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
