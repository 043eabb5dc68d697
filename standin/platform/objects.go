package platform

import (
	"bytes"
	"context"
	"sync"

	"acaciacleat.example/peers/objects"
	"acaciacleat.example/standin/faults"
)

var objectFailures = failures{refused: objects.ErrUnavailable, lost: objects.ErrUnavailable}

// Objects is the object store in memory.
type Objects struct {
	// faults holds the injected faults of all operations.
	faults *faults.Table

	mu   sync.Mutex
	data map[string][]byte
}

var _ objects.Store = (*Objects)(nil)

// NewObjects returns an empty object store.
func NewObjects(f *faults.Table) *Objects {
	return &Objects{faults: f, data: make(map[string][]byte)}
}

// Get implements objects.Store.
func (o *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	return inject(ctx, o.faults, OpObjectsGet, objectFailures, func() ([]byte, error) {
		return o.get(name)
	})
}

// Put implements objects.Store.
func (o *Objects) Put(ctx context.Context, name string, data []byte) error {
	data = bytes.Clone(data)
	_, err := inject(ctx, o.faults, OpObjectsPut, objectFailures, func() (struct{}, error) {
		o.put(name, data)
		return struct{}{}, nil
	})
	return err
}

// Delete implements objects.Store.
func (o *Objects) Delete(ctx context.Context, name string) error {
	_, err := inject(ctx, o.faults, OpObjectsDelete, objectFailures, func() (struct{}, error) {
		o.remove(name)
		return struct{}{}, nil
	})
	return err
}

func (o *Objects) get(name string) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	data, ok := o.data[name]
	if !ok {
		return nil, objects.ErrNotFound
	}
	return append([]byte{}, data...), nil
}

func (o *Objects) put(name string, data []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.data[name] = data
}

func (o *Objects) remove(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.data, name)
}
