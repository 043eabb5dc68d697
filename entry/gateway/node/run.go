package node

import (
	"fmt"
	"io"
	"os"
	"time"

	"acaciacleat.example/entry/settings"
	"acaciacleat.example/peers/commandline"
	shared "acaciacleat.example/peers/settings"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

// Platform makes a platform's Peer from the settings of its store.
type Platform func(store settings.Store) Peer

// Surroundings is what a process is given besides its settings.
type Surroundings struct {
	// Log takes the log's lines.
	Log io.Writer
	// Signals stop the process: the first gracefully, the second at once.
	Signals <-chan os.Signal
	// Reload tells that the settings file was written anew.
	Reload <-chan os.Signal
	// Started, if not nil, is told once the gateway listens.
	Started func(*Node)
}

// Run runs a gateway from a settings file until it is told to stop.
func Run(file string, platform Platform, around Surroundings) error {
	s, err := shared.ReadFile(file, settings.ParseGateway)
	if err != nil {
		return err
	}
	writer := nonBlocking(around.Log)
	defer writer.Close()
	log := zerolog.New(writer).Level(s.Log.ZerologLevel()).With().Timestamp().Logger()
	n, err := Start(s, platform(s.Store), log)
	if err != nil {
		return err
	}
	go n.reload(file, s, around.Reload)
	if around.Started != nil {
		around.Started(n)
	}
	limit := max(s.Drain.Limit()-stopReserve, 0)
	commandline.DrainOnSignal(around.Signals, n, limit, log)
	return nil
}

// queuedLines is the number of log lines that wait for the writer: about 2 MB at the most.
const queuedLines = 4096

// nonBlocking returns a writer that never makes a request wait for whoever reads the log: a
// full pipe loses lines, and a line tells how many.
func nonBlocking(w io.Writer) diode.Writer {
	return diode.NewWriter(w, queuedLines, 0, func(missed int) {
		fmt.Fprintf(w, `{"level":"warn","lines":%d,"message":"log lines lost: nobody read them"}`+"\n", missed)
	})
}

// reloadEvery is how often the settings file is looked at: it may change without a signal.
const reloadEvery = time.Second

// reload reads the settings again on a signal and when the file has changed.
func (n *Node) reload(file string, s *settings.Gateway, signals <-chan os.Signal) {
	current := *s
	ticker := time.NewTicker(reloadEvery)
	defer ticker.Stop()
	var last time.Time
	for {
		signalled := false
		select {
		case <-signals:
			signalled = true
		case <-ticker.C:
		}
		written := modified(file)
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
		n.apply(&current, next)
		current = *next
	}
}

// modified returns when a file was written; zero where that can't be told.
func modified(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// apply puts into force what may change while the process runs.
func (n *Node) apply(old, next *settings.Gateway) {
	if *old == *next {
		n.log.Info().Msg("settings read again: nothing changed")
		return
	}
	n.log.Info().Msg("settings read again: changed fields take effect at the next start")
}
