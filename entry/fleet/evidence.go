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

// tickEvery is how often suspicions are judged and probes sent.
const tickEvery = 100 * time.Millisecond

// Watch reads the list of VMs every interval and keeps judging the members until ctx
// ends. While the list is down the last one read stands.
func (v *View) Watch(ctx context.Context, lister vmlist.Lister, every time.Duration) {
	list := time.NewTicker(every)
	defer list.Stop()
	judge := time.NewTicker(tickEvery)
	defer judge.Stop()
	v.readList(ctx, lister, every)
	for {
		select {
		case <-ctx.Done():
			return
		case <-list.C:
			// A list that hangs must not keep dead VMs from being noticed.
			go v.readList(ctx, lister, every)
		case <-judge.C:
			v.tick()
		}
	}
}

func (v *View) readList(ctx context.Context, lister vmlist.Lister, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
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

// Lost records that an open link ended. A peer that closed it may have died: it gets no
// work until a probe finds it alive. The dialler alone closes idle links, so the loss of
// one that was accepted is evidence of nothing.
func (v *View) Lost(c *link.Conn, reason error) {
	if !c.Dialed() || errors.Is(reason, link.ErrIdle) {
		return
	}
	// Whatever was sent before the last sign of life has been answered by it.
	v.silent(c.Peer().VM, c.Heard())
}

// Left records an agent's own word that it takes no new work.
func (v *View) Left(c *link.Conn) {
	v.mu.Lock()
	defer v.mu.Unlock()
	peer := c.Peer()
	v.apply(v.members.HandleLeaving(time.Now(), membership.ID(peer.VM), peer.Incarnation))
}

// Replied records a sign of life. It counts from when its bytes came: were it dated later,
// the link's loss would seem older than a reply and be ignored, and the death with it.
func (v *View) Replied(c *link.Conn) {
	v.mu.Lock()
	defer v.mu.Unlock()
	peer := c.Peer()
	v.apply(v.members.HandleMessage(c.Heard(), membership.ID(peer.VM), peer.Incarnation))
}

func (v *View) silent(vm string, sent time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.apply(v.members.HandleTimeout(time.Now(), membership.ID(vm), sent))
}

// failed turns a failed connection into evidence. Only a refusal proves that nothing
// listens; everything else may be the network's fault.
func (v *View) failed(vm string, sent time.Time, err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		v.silent(vm, sent)
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.apply(v.members.HandleRefusal(time.Now(), membership.ID(vm)))
}

// probe looks for a sign of life over a link of its own if there is none.
func (v *View) probe(vm, addr string) {
	ctx, cancel := context.WithTimeout(context.Background(), link.DefaultTiming.Silence)
	defer cancel()
	sent := time.Now()
	conn, err := v.dialer.Dial(ctx, vm, addr)
	if err == nil {
		err = conn.Refresh(ctx, 0)
	}
	if err != nil {
		v.failed(vm, sent, err)
		return
	}
	v.learn(vm, conn)
}
