// Package serve runs an entry in a process of its own from its settings.
package serve

import (
	"context"
	"crypto/tls"
	"io"
	"os"
	"time"

	"acaciacleat.example/entry/process"
	"acaciacleat.example/entry/settings"
	"acaciacleat.example/peers/commandline"
	"acaciacleat.example/peers/documents"
	"acaciacleat.example/peers/link"
	"acaciacleat.example/peers/objects"
	"acaciacleat.example/peers/reload"
	shared "acaciacleat.example/peers/settings"
	"acaciacleat.example/peers/vmlist"
	"acaciacleat.example/peers/weights"
	"github.com/rs/zerolog"
)

// Environment holds the inputs of a process besides its settings.
type Environment struct {
	// Log receives the log lines.
	Log io.Writer
	// Signals stop the process: the first gracefully, the second at once.
	Signals <-chan os.Signal
	// Started, if not nil, is called when the entry listens.
	Started func(*process.Entry)
}

// Run runs an entry until a signal stops it.
func Run(s *settings.Settings, env Environment) error {
	log := zerolog.New(env.Log).Level(s.Log.ZerologLevel()).With().Timestamp().Logger()
	files, err := loadFiles(s)
	if err != nil {
		return err
	}
	tracer, err := s.Trace.Open(s.VM.ID, os.Stdout)
	if err != nil {
		return err
	}
	defer tracer.Flush()
	shared.LimitMemory(s.Limits.MemoryMb)
	config := newConfig(s, files, log)
	config.Tracer = tracer
	entry, err := process.Start(config)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	files.watch(ctx, log)
	log.Info().Str("vm", s.VM.ID).Str("callers", entry.Addr()).Str("operators", entry.OperatorAddr()).
		Str("link", entry.LinkAddr()).Msg("entry started")
	if env.Started != nil {
		env.Started(entry)
	}
	commandline.DrainOnSignal(env.Signals, entry, shared.Milliseconds(s.Drain.LimitMs), log)
	return nil
}

// watchedFiles holds the keys and certificates whose files may change while the entry runs.
type watchedFiles struct {
	keys        *link.Keys
	keyFiles    *reload.Files
	callerTLS   *reload.Certificate
	operatorTLS *reload.Certificate
}

func loadFiles(s *settings.Settings) (w watchedFiles, err error) {
	if w.keys, w.keyFiles, err = s.Link.WatchedKeys(); err != nil {
		return w, err
	}
	if w.callerTLS, err = certificate(s.Callers.TLS); err != nil {
		return w, err
	}
	w.operatorTLS, err = certificate(s.Operators.TLS)
	return w, err
}

// certificate loads a certificate, or returns nil if no files are set.
func certificate(files shared.TLS) (*reload.Certificate, error) {
	if !files.Enabled() {
		return nil, nil
	}
	return reload.NewCertificate(files.CertFile, files.KeyFile)
}

func (w watchedFiles) watch(ctx context.Context, log zerolog.Logger) {
	go w.keyFiles.Watch(ctx, "link keys", log)
	if w.callerTLS != nil {
		go w.callerTLS.Watch(ctx, "callers' certificate", log)
	}
	if w.operatorTLS != nil {
		go w.operatorTLS.Watch(ctx, "operators' certificate", log)
	}
}

func newConfig(s *settings.Settings, files watchedFiles, log zerolog.Logger) process.Config {
	options := s.Platform.HTTPOptions()
	store := s.Platform.OpenTable()
	return process.Config{
		VM:             s.VM.ID,
		Zone:           s.VM.Zone,
		Incarnation:    link.NewIncarnation(),
		Listen:         s.Callers.Listen,
		OperatorListen: s.Operators.Listen,
		LinkListen:     s.Link.Listen,
		Keys:           files.keys,
		Table:          store,
		Documents: documents.New(documents.Config{
			Table:   store,
			Objects: objects.NewHTTP(s.Platform.Objects, options),
			Token:   documents.NewToken,
			Now:     time.Now,
		}),
		Weights:   weights.NewHTTP(s.Platform.Weights, options),
		VMs:       vmlist.NewHTTP(s.Platform.VMs, options),
		Policies:  process.Policies(s.Routing.Policy, uint64(link.NewIncarnation())),
		Limits:    s.Limits.FrontLimits(),
		Footprint: s.Limits.Footprint(),

		OperatorFootprint: s.Limits.OperatorFootprint(),
		CallerTLS:         configTLS(files.callerTLS),
		OperatorTLS:       configTLS(files.operatorTLS),
		ReadyOff:          shared.Milliseconds(s.Drain.ReadyOffMs),
		Log:               log,
	}
}

func configTLS(c *reload.Certificate) *tls.Config {
	if c == nil {
		return nil
	}
	return c.Config()
}
