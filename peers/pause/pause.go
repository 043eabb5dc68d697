// Package pause implements a sleep that a context can interrupt.
package pause

import (
	"context"
	"time"
)

// For returns after d, or earlier when ctx ends.
func For(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
