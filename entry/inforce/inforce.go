// Package inforce keeps the service documents that one entry goes by up to date.
package inforce

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"acaciacleat.example/core/document"
	"acaciacleat.example/peers/documents"
	"github.com/rs/zerolog"
)

// Every is how often the store is asked for newer revisions.
const Every = time.Second

// Keeper holds the state that is in force. It is safe for concurrent use.
type Keeper struct {
	store *documents.Store
	apply func(*document.Snapshot)
	log   zerolog.Logger
	// refreshing guards the step from one state to the next.
	refreshing sync.Mutex
	state      atomic.Pointer[documents.State]
	read       atomic.Bool
}

// New returns a Keeper of the empty state. It calls apply with each revision that it
// puts in force, in rising order.
func New(store *documents.Store, apply func(*document.Snapshot), log zerolog.Logger) *Keeper {
	k := &Keeper{store: store, apply: apply, log: log}
	k.state.Store(documents.Empty())
	return k
}

// State returns the state in force.
func (k *Keeper) State() *documents.State { return k.state.Load() }

// Refresh puts the newest revision in force, if the table service can be asked.
func (k *Keeper) Refresh(ctx context.Context) error {
	k.refreshing.Lock()
	defer k.refreshing.Unlock()
	state := k.state.Load()
	next, err := k.store.Advance(ctx, state)
	if err != nil {
		return err
	}
	if k.read.Load() && next.Revision() <= state.Revision() {
		return nil
	}
	k.state.Store(next)
	k.read.Store(true)
	k.apply(next.Snapshot)
	return nil
}

// InForce returns what lacks a revision. It knows of this entry alone.
func (k *Keeper) InForce(revision document.Revision) (missing []string) {
	if k.State().Revision() < revision {
		return []string{notHere}
	}
	return []string{hereOnly}
}

// What InForce says in place of the other nodes' names, which are not known here.
const (
	notHere  = "not yet in force here"
	hereOnly = "in force here only; other nodes read it from the table service"
)

// Watch refreshes until ctx ends.
func (k *Keeper) Watch(ctx context.Context) {
	ticker := time.NewTicker(Every)
	defer ticker.Stop()
	for {
		if err := k.Refresh(ctx); err != nil && ctx.Err() == nil {
			k.log.Warn().Err(err).Msg("documents could not be read; the last revision stands")
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
