// Package pause waits for a time or the end of a context.
package pause

import (
	"context"
	"time"
)

// For returns after d, or sooner when ctx ends.
func For(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
