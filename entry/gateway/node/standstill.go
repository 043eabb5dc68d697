package node

import (
	"context"
	"time"

	"acaciacleat.example/core/standstill"
)

// watchStandstills logs the standstills of the process until ctx ends.
func (n *Node) watchStandstills(ctx context.Context) {
	ticker := time.NewTicker(standstill.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if stoodStill := n.standstills.Observe(time.Now()); stoodStill > 0 {
				n.log.Warn().Int64("for_ms", stoodStill.Milliseconds()).Msg("the process did not run")
			}
		}
	}
}
