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

// InvalidError lists all faults of a settings file.
type InvalidError struct {
	File   string
	Faults []Fault
}

// Error implements error. It returns one line for each fault.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, fault := range e.Faults {
		lines[i] = e.File + ": " + fault.String()
	}
	return strings.Join(lines, "\n")
}

// ReadFile reads a settings file and parses it with parse. If the file can be read but has
// faults, the error is an *InvalidError.
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

// minKeyBytes is the minimum length of a link key: the output length of HMAC-SHA256, with
// which links authenticate.
const minKeyBytes = 32

// Load returns the secret, or nil if neither field is set. Its errors name the file or the
// variable and never contain the secret.
func (s Secret) Load() ([]byte, error) {
	switch {
	case s.File != "":
		data, err := os.ReadFile(s.File)
		if err != nil {
			return nil, errors.Wrap(err, "read secret")
		}
		return checkKeyLength(data, "file "+s.File)
	case s.Env != "":
		return checkKeyLength([]byte(os.Getenv(s.Env)), "environment variable "+s.Env)
	}
	return nil, nil
}

func checkKeyLength(data []byte, source string) ([]byte, error) {
	data = bytes.TrimSpace(data)
	if len(data) < minKeyBytes {
		return nil, errors.Errorf("secret in %s has %d bytes, at least %d are needed", source, len(data), minKeyBytes)
	}
	return data, nil
}

// LoadKeys returns both link keys; previous is nil if it is not set.
func (l Link) LoadKeys() (current, previous []byte, err error) {
	current, err = l.CurrentKey.Load()
	if err != nil {
		return nil, nil, errors.WithMessage(err, "link.currentKey")
	}
	previous, err = l.PreviousKey.Load()
	return current, previous, errors.WithMessage(err, "link.previousKey")
}

// KeyFiles returns the names of the files with the link keys.
func (l Link) KeyFiles() []string {
	var files []string
	for _, secret := range []Secret{l.CurrentKey, l.PreviousKey} {
		if secret.File != "" {
			files = append(files, secret.File)
		}
	}
	return files
}

// HTTPOptions returns the options for the clients of the platform's services.
func (p Platform) HTTPOptions() httpjson.Options {
	return httpjson.Options{Timeout: Milliseconds(p.TimeoutMs)}
}

// OpenTable returns a client of the table service. The client resolves the outcome of commits
// whose answer was lost, and circuit breakers limit its calls during an outage.
func (p Platform) OpenTable() table.Store {
	http := table.NewHTTP(p.Table, p.HTTPOptions())
	return table.NewResolvingStore(table.NewBreakerStore(http, breaker.DefaultSettings))
}

// Milliseconds converts a number of milliseconds to a duration.
func Milliseconds(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }

// ZerologLevel returns the level as the logger's type.
func (l Log) ZerologLevel() zerolog.Level {
	level, err := zerolog.ParseLevel(l.Level)
	if err != nil {
		return zerolog.InfoLevel // Parse accepts only known names.
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
