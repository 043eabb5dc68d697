// Package objects is the system's view of the platform's object store.
package objects

import (
	"context"

	"github.com/pkg/errors"
)

// Failures of a Store.
var (
	ErrNotFound    = errors.New("objects: object not found")
	ErrUnavailable = errors.New("objects: store unavailable")
)

// Store is the object store. Put replaces a whole object; a reader sees the old or the
// new one, never a mixture. Implementations are safe for concurrent use.
type Store interface {
	Get(ctx context.Context, name string) ([]byte, error)
	// Put may have taken effect even when it returns ErrUnavailable; it is idempotent.
	Put(ctx context.Context, name string, data []byte) error
	Delete(ctx context.Context, name string) error
}
