// Package reload reloads small files when they change, so that link keys and certificates
// can be replaced without a restart of the process.
package reload

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/rs/zerolog"
)

// PollInterval is the interval between checks of the files.
const PollInterval = time.Second

// Files is a set of files that are loaded together. It must not be used by several goroutines
// at a time.
//
// It compares contents, since a modification time can stay the same when a file is written
// twice within the clock's resolution or replaced by a file of the same age.
type Files struct {
	names        []string
	load         func() error
	lastContents [][]byte
}

// New returns Files after a first load. load reads and applies the files; if it fails, it
// must keep the previous contents in use.
func New(load func() error, names ...string) (*Files, error) {
	f := &Files{names: names, load: load}
	f.lastContents = f.read()
	if err := load(); err != nil {
		return nil, err
	}
	return f, nil
}

// Check loads the files if one has changed since the last Check. After a failed load it
// loads the files again only after the next change. A load may fail because one of two files
// that belong together was replaced before the other; the write of the other file is then
// the next change.
func (f *Files) Check() (changed bool, err error) {
	now := f.read()
	for i := range now {
		changed = changed || !bytes.Equal(now[i], f.lastContents[i])
	}
	if !changed {
		return false, nil
	}
	f.lastContents = now
	return true, f.load()
}

// read returns the contents of the files; a file that can't be read counts as empty.
func (f *Files) read() [][]byte {
	contents := make([][]byte, len(f.names))
	for i, name := range f.names {
		contents[i], _ = os.ReadFile(name)
	}
	return contents
}

// Watch checks the files until ctx ends and logs reloads and failures. The log messages refer
// to the files by description.
func (f *Files) Watch(ctx context.Context, description string, log zerolog.Logger) {
	if len(f.names) == 0 {
		return
	}
	ticker := time.NewTicker(PollInterval)
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
			log.Error().Err(err).Msgf("changed %s could not be read; the last one stays in use", description)
		case changed:
			log.Info().Msgf("%s reloaded after a change", description)
		}
	}
}
