package settings

import (
	"bytes"
	"os"
	"strings"
	"time"

	"acaciacleat.example/core/breaker"
	"acaciacleat.example/peers/httpjson"
	"acaciacleat.example/peers/link"
	"acaciacleat.example/peers/reload"
	"acaciacleat.example/peers/table"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// InvalidError lists all faults of one file.
type InvalidError struct {
	File   string
	Faults []Fault
}

// Error implements error; it has one line for each fault.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, fault := range e.Faults {
		lines[i] = e.File + ": " + fault.String()
	}
	return strings.Join(lines, "\n")
}

// ReadFile reads a settings file with the given parser. Its error is an *InvalidError
// when the file could be read.
func ReadFile[T any](file string, parse func([]byte) (*T, []Fault)) (*T, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	value, faults := parse(data)
	if len(faults) > 0 {
		return nil, &InvalidError{File: file, Faults: faults}
	}
	return value, nil
}

// minKeyBytes is the least length of a link key: that of the hash that proves it.
const minKeyBytes = 32

// Load returns the secret, or nil when none is named. Its errors name the place and
// never the content.
func (s Secret) Load() ([]byte, error) {
	switch {
	case s.File != "":
		data, err := os.ReadFile(s.File)
		if err != nil {
			return nil, errors.Wrap(err, "read secret")
		}
		return checkLength(data, "file "+s.File)
	case s.Env != "":
		return checkLength([]byte(os.Getenv(s.Env)), "environment variable "+s.Env)
	}
	return nil, nil
}

func checkLength(data []byte, where string) ([]byte, error) {
	data = bytes.TrimSpace(data)
	if len(data) < minKeyBytes {
		return nil, errors.Errorf("secret in %s has %d bytes, at least %d are needed", where, len(data), minKeyBytes)
	}
	return data, nil
}

// LoadKeys returns both link keys; previous is nil when none is set.
func (l Link) LoadKeys() (current, previous []byte, err error) {
	current, err = l.CurrentKey.Load()
	if err != nil {
		return nil, nil, errors.WithMessage(err, "link.currentKey")
	}
	previous, err = l.PreviousKey.Load()
	return current, previous, errors.WithMessage(err, "link.previousKey")
}

// KeyFiles returns the files that hold link keys.
func (l Link) KeyFiles() []string {
	var files []string
	for _, secret := range []Secret{l.CurrentKey, l.PreviousKey} {
		if secret.File != "" {
			files = append(files, secret.File)
		}
	}
	return files
}

// HTTPOptions returns the options of the clients of the platform's services.
func (p Platform) HTTPOptions() httpjson.Options {
	return httpjson.Options{Timeout: Milliseconds(p.TimeoutMs)}
}

// OpenTable returns the table service as processes use it: lost answers are settled, and
// an outage is not fed by retries.
func (p Platform) OpenTable() table.Store {
	http := table.NewHTTP(p.Table, p.HTTPOptions())
	return table.NewResolvingStore(table.NewBreakerStore(http, breaker.DefaultSettings))
}

// Milliseconds converts a setting to a duration.
func Milliseconds(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }

// ZerologLevel returns the level for the logger.
func (l Log) ZerologLevel() zerolog.Level {
	level, err := zerolog.ParseLevel(l.Level)
	if err != nil {
		return zerolog.InfoLevel // Parse admits no other names.
	}
	return level
}

// WatchedKeys loads the link keys and returns them with the files to watch.
func (l Link) WatchedKeys() (*link.Keys, *reload.Files, error) {
	keys := link.NewKeys(nil, nil)
	load := func() error {
		current, previous, err := l.LoadKeys()
		if err != nil {
			return err
		}
		keys.Set(current, previous)
		return nil
	}
	files, err := reload.New(load, l.KeyFiles()...)
	return keys, files, err
}
