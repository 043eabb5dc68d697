// Package reload reads small files again when they change: link keys and certificates
// are replaced on VMs whose processes must not restart for it.
package reload

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/rs/zerolog"
)

// Every is how often files are looked at.
const Every = time.Second

// Files is a set of files that belong together. It is used by one goroutine.
//
// It compares contents, for a modification time can stay the same when a file is written
// twice within the clock's grain or replaced by one of the same age.
type Files struct {
	names []string
	load  func() error
	last  [][]byte
}

// New returns Files after a first load. load reads the files and puts them to use; when
// it fails it leaves in use what was.
func New(load func() error, names ...string) (*Files, error) {
	f := &Files{names: names, load: load}
	f.last = f.read()
	if err := load(); err != nil {
		return nil, err
	}
	return f, nil
}

// Check loads the files if one has changed since the last Check. Files that could not be
// loaded are tried again only after the next change: two files that belong together are
// rarely written at the same moment.
func (f *Files) Check() (changed bool, err error) {
	now := f.read()
	for i := range now {
		changed = changed || !bytes.Equal(now[i], f.last[i])
	}
	if !changed {
		return false, nil
	}
	f.last = now
	return true, f.load()
}

// read returns the contents; a file that can't be read counts as empty.
func (f *Files) read() [][]byte {
	contents := make([][]byte, len(f.names))
	for i, name := range f.names {
		contents[i], _ = os.ReadFile(name)
	}
	return contents
}

// Watch checks the files until ctx ends and logs what happens; what names them.
func (f *Files) Watch(ctx context.Context, what string, log zerolog.Logger) {
	if len(f.names) == 0 {
		return
	}
	ticker := time.NewTicker(Every)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		changed, err := f.Check()
		switch {
		case err != nil:
			log.Error().Err(err).Msgf("changed %s could not be read; the last one stays in use", what)
		case changed:
			log.Info().Msgf("%s read again after a change", what)
		}
	}
}
