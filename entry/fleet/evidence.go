package fleet

import (
	"context"
	"syscall"
	"time"

	"acaciacleat.example/core/membership"
	"acaciacleat.example/peers/link"
	"acaciacleat.example/peers/vmlist"
	"github.com/pkg/errors"
)

// tickInterval is the time between two checks of the members, which may send probes.
const tickInterval = 100 * time.Millisecond

// Watch reads the list of VMs at each interval and checks the members until ctx ends. While the
// list can't be read, the last one stays in use.
func (v *View) Watch(ctx context.Context, lister vmlist.Lister, interval time.Duration) {
	list := time.NewTicker(interval)
	defer list.Stop()
	check := time.NewTicker(tickInterval)
	defer check.Stop()
	v.readList(ctx, lister, interval)
	for {
		select {
		case <-ctx.Done():
			return
		case <-list.C:
			// A read that hangs must not delay the detection of dead VMs.
			go v.readList(ctx, lister, interval)
		case <-check.C:
			v.tick()
		}
	}
}

func (v *View) readList(ctx context.Context, lister vmlist.Lister, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	vms, err := lister.List(ctx)
	if err != nil {
		v.log.Warn().Err(err).Msg("the list of VMs could not be read; the last one stands")
		return
	}
	v.SetVMs(vms)
}

func (v *View) tick() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.apply(v.members.Tick(time.Now()))
}

// RecordLinkLoss records that an open link closed. The peer may have died, so it gets no
// requests until a probe succeeds. Only the dialing side closes idle links, so the loss of an
// accepted link is no evidence.
func (v *View) RecordLinkLoss(c *link.Conn, reason error) {
	if !c.Dialed() || errors.Is(reason, link.ErrIdle) {
		return
	}
	// The last received bytes prove that the peer was alive at that time.
	v.recordTimeout(c.Peer().VM, c.LastReceived())
}

// RecordLeaving records an agent's notice that it accepts no new requests.
func (v *View) RecordLeaving(c *link.Conn) {
	v.mu.Lock()
	defer v.mu.Unlock()
	peer := c.Peer()
	v.apply(v.members.HandleLeaving(time.Now(), membership.ID(peer.VM), peer.Incarnation))
}

// RecordReply records a message from a peer as evidence of liveness. It counts from the time
// at which its bytes arrived: with a later time, a loss of the link would seem older than the
// reply and be ignored, and the peer's death would go unnoticed.
func (v *View) RecordReply(c *link.Conn) {
	v.mu.Lock()
	defer v.mu.Unlock()
	peer := c.Peer()
	v.apply(v.members.HandleMessage(c.LastReceived(), membership.ID(peer.VM), peer.Incarnation))
}

// recordTimeout records that a VM has not answered what was sent to it at the given time.
func (v *View) recordTimeout(vm string, sent time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.apply(v.members.HandleTimeout(time.Now(), membership.ID(vm), sent))
}

// recordDialFailure records a failed connection as evidence. Only a refused connection proves
// that no process listens; any other failure may be due to the network.
func (v *View) recordDialFailure(vm string, sent time.Time, err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		v.recordTimeout(vm, sent)
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.apply(v.members.HandleRefusal(time.Now(), membership.ID(vm)))
}

// probe checks over a link whether a VM is alive, and dials it if no link is open.
func (v *View) probe(vm, addr string) {
	ctx, cancel := context.WithTimeout(context.Background(), link.DefaultTiming.Silence)
	defer cancel()
	sent := time.Now()
	conn, err := v.dialer.Dial(ctx, vm, addr)
	if err == nil {
		err = conn.Refresh(ctx, 0)
	}
	if err != nil {
		v.recordDialFailure(vm, sent, err)
		return
	}
	v.recordIncarnation(vm, conn)
}
