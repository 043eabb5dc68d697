package node

import (
	"io"
	"os"
	"time"

	"acaciacleat.example/entry/settings"
	"acaciacleat.example/peers/commandline"
	"acaciacleat.example/peers/logwriter"
	shared "acaciacleat.example/peers/settings"
	"github.com/rs/zerolog"
)

// Platform creates a platform's Backend from the store settings.
type Platform func(store settings.Store) Backend

// Environment is the environment of a process besides its settings.
type Environment struct {
	// Log receives the log lines.
	Log io.Writer
	// Signals stop the process: the first gracefully, the second at once.
	Signals <-chan os.Signal
	// Reload signals that the settings file was rewritten.
	Reload <-chan os.Signal
	// Started, if not nil, is called once the gateway listens.
	Started func(*Node)
}

// Run runs a gateway from a settings file until it is signalled to stop.
func Run(file string, platform Platform, env Environment) error {
	s, err := shared.ReadFile(file, settings.ParseGateway)
	if err != nil {
		return err
	}
	writer := logwriter.New(env.Log, maxQueuedLines)
	defer writer.Close()
	log := zerolog.New(writer).Level(s.Log.ZerologLevel()).With().Timestamp().Logger()
	n, err := Start(s, platform(s.Store), log)
	if err != nil {
		return err
	}
	go n.reload(file, s, env.Reload)
	if env.Started != nil {
		env.Started(n)
	}
	limit := max(s.Drain.Limit()-stopReserve, 0)
	commandline.DrainOnSignal(env.Signals, n, limit, log)
	return nil
}

// maxQueuedLines is the number of log lines that may wait for the writer, about 2 MB in total.
const maxQueuedLines = 4096

// reloadInterval is the interval at which the settings file is checked for changes without a
// signal.
const reloadInterval = time.Second

// reload reads the settings again on a signal and when the file has changed, and logs whether they
// differ from those in force.
func (n *Node) reload(file string, s *settings.Gateway, signals <-chan os.Signal) {
	current := *s
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	var last time.Time
	for {
		signalled := false
		select {
		case <-signals:
			signalled = true
		case <-ticker.C:
		}
		written := modTime(file)
		if !signalled && (last.IsZero() || written.Equal(last)) {
			last = written
			continue
		}
		last = written
		next, err := shared.ReadFile(file, settings.ParseGateway)
		if err != nil {
			n.log.Error().Err(err).Msg("settings could not be read again; the last ones stay in force")
			continue
		}
		n.logChanges(&current, next)
		current = *next
	}
}

// modTime returns a file's modification time, or zero if it can't be determined.
func modTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// logChanges logs whether the settings have changed. Changes take effect at the next start.
func (n *Node) logChanges(old, next *settings.Gateway) {
	if *old == *next {
		n.log.Info().Msg("settings read again: no change")
		return
	}
	n.log.Info().Msg("settings read again: changed fields take effect at the next start")
}
