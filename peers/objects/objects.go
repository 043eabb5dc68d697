// Package objects defines the interface of the platform's object store and implements a
// client over HTTP.
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

// Store is the object store. Put replaces an object atomically: a reader sees either the
// old or the new object. Implementations are safe for concurrent use.
type Store interface {
	Get(ctx context.Context, name string) ([]byte, error)
	// Put is idempotent. It may have taken effect even if it returns ErrUnavailable.
	Put(ctx context.Context, name string, data []byte) error
	Delete(ctx context.Context, name string) error
}
