package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	peer "acaciacleat.example/peers/engine"
	"acaciacleat.example/peers/weights"
	"github.com/pkg/errors"
)

// order executes an order and answers when it is done. Orders are executed one at a time. As in real
// engines, an order is executed even if its caller disconnects.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var order peer.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		refuse(w, http.StatusBadRequest, peer.TypeInvalid, err.Error())
		return
	}
	if err := e.checkFencingToken(order.Fence); err != nil {
		refuse(w, err.status, err.kind, err.message)
		return
	}
	done := make(chan error, 1)
	go func() { done <- e.execute(context.WithoutCancel(r.Context()), order) }()
	select {
	case err := <-done:
		writeOrderResult(w, err)
	case <-r.Context().Done():
	}
}

func writeOrderResult(w http.ResponseWriter, err error) {
	var refused *refusal
	switch {
	case err == nil:
		w.WriteHeader(http.StatusNoContent)
	case errors.As(err, &refused):
		refuse(w, refused.status, refused.kind, refused.message)
	case errors.Is(err, weights.ErrNotFound):
		refuse(w, http.StatusNotFound, peer.TypeInvalid, err.Error())
	default:
		refuse(w, http.StatusServiceUnavailable, peer.TypeFailed, err.Error())
	}
}

// checkFencingToken refuses fencing tokens lower than the highest seen, if the engine is configured
// to check them.
func (e *Engine) checkFencingToken(token uint64) *refusal {
	if !e.config.CheckFence {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if token < e.fencingToken {
		return &refusal{http.StatusConflict, peer.TypeFenced, "a higher fencing number was seen"}
	}
	e.fencingToken = token
	return nil
}

func (e *Engine) execute(ctx context.Context, order peer.Order) error {
	e.orderSlot <- struct{}{}
	defer func() { <-e.orderSlot }()
	// While this order waited for the slot, an order with a higher fencing token may have been executed.
	if err := e.checkFencingToken(order.Fence); err != nil {
		return err
	}
	switch order.Kind {
	case peer.OrderLoadModel:
		return e.loadModel(ctx, order)
	case peer.OrderLoadAdapter:
		return e.loadAdapter(ctx, order)
	case peer.OrderRole:
		e.apply(func() { e.role = order.Name })
		return nil
	default:
		return invalid("unknown kind of order %q", order.Kind)
	}
}

func (e *Engine) apply(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
	e.recordState()
}

// loadModel refuses new requests, waits until the accepted ones have ended, and replaces the model.
// The cache and the adapters of the old model are dropped. If the engine already serves the ordered
// model and version, loadModel does nothing.
func (e *Engine) loadModel(ctx context.Context, order peer.Order) error {
	if e.servesModel(order) {
		return nil
	}
	<-e.drain()
	defer e.apply(func() { e.loading = false })
	if err := e.fetch(ctx, order, e.config.ModelBytes); err != nil {
		return err
	}
	e.apply(func() {
		e.model = order.Name
		e.version = order.Version
		e.adapters = map[string]string{}
		e.cache.clear()
	})
	return nil
}

func (e *Engine) servesModel(order peer.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.model == order.Name && e.version == order.Version
}

// drain stops accepting requests; the returned channel is closed when none is left.
func (e *Engine) drain() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loading = true
	drained := make(chan struct{})
	if len(e.sequences) == 0 {
		close(drained)
		return drained
	}
	e.drained = drained
	return drained
}

func (e *Engine) loadAdapter(ctx context.Context, order peer.Order) error {
	if err := e.fetch(ctx, order, e.config.AdapterBytes); err != nil {
		return err
	}
	e.apply(func() { e.adapters[order.Name] = order.Version })
	return nil
}

// fetch waits for the time that a transfer of the artifact takes at the weight store's rate.
func (e *Engine) fetch(ctx context.Context, order peer.Order, size int64) error {
	rate := e.config.WeightRate
	if store := e.config.Weights; store != nil {
		artifact, err := store.Describe(ctx, order.Name, order.Version)
		if err != nil {
			return err
		}
		size = artifact.Bytes
		if rate, err = store.RateBytesPerSecond(ctx); err != nil {
			return err
		}
	}
	time.Sleep(transferTime(size, rate))
	return nil
}

func transferTime(bytes int64, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / rate * float64(time.Second))
}
