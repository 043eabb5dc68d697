package fleet

import (
	"context"
	"time"

	"acaciacleat.example/peers/vmlist"
)

// Watch reads the list of VMs every interval until ctx ends. While the list is down the
// last one read stands.
func (v *View) Watch(ctx context.Context, lister vmlist.Lister, every time.Duration) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		v.readList(ctx, lister, every)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
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
