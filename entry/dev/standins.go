package dev

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"

	standinengine "acaciacleat.example/standin/engine"
	"acaciacleat.example/standin/plain"
	"acaciacleat.example/standin/platform"
	"github.com/pkg/errors"
)

// weightRate is the transfer rate of the stand-in weight store, in bytes per second.
const weightRate = 1 << 30

// servers are the HTTP servers of the stand-ins: the platform, the engines, the plain services.
type servers []*http.Server

// serve starts an HTTP server for a stand-in and returns its base URL.
func (s *servers) serve(listen string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return "", errors.Wrapf(err, "listen for a stand-in on %s", listen)
	}
	server := &http.Server{Handler: handler}
	*s = append(*s, server)
	go func() { _ = server.Serve(listener) }()
	return "http://" + listener.Addr().String(), nil
}

func (s *servers) close() {
	for _, server := range *s {
		_ = server.Close()
	}
}

// StandInsConfig configures a set of stand-ins.
type StandInsConfig struct {
	// Listen is the platform's IP address and port. The engines, including the spare ones, use
	// the ports after it, and the plain services the ports after those of the engines. With
	// port 0, all stand-ins use free ports.
	Listen  string
	Engines int
	// SpareEngines is the number of additional engines, which serve another model.
	SpareEngines int
	Plains       int
	Engine       standinengine.Config
	Plain        plain.Config
	// WrapEngine, if not nil, wraps the HTTP handler of each engine.
	WrapEngine func(engine int, next http.Handler) http.Handler
}

// StandIns are a running platform, engines and plain services without entries and agents, for use
// with entries and agents that run as separate processes.
type StandIns struct {
	Platform *platform.Platform
	Engines  []*standinengine.Engine
	Plains   []*plain.Service
	// The base URLs of the stand-ins. The platform's services are paths under PlatformURL.
	PlatformURL string
	EngineURLs  []string
	PlainURLs   []string

	// next is the listen address of the next stand-in.
	next    netip.AddrPort
	servers servers
}

// StartStandIns starts stand-ins, which run until Stop.
func StartStandIns(config StandInsConfig) (*StandIns, error) {
	first, err := netip.ParseAddrPort(config.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "parse the listen address of the platform")
	}
	s := &StandIns{Platform: platform.New(weightRate), next: first}
	if err := s.start(config); err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

func (s *StandIns) start(config StandInsConfig) (err error) {
	if s.PlatformURL, err = s.serve(s.Platform.Handler()); err != nil {
		return err
	}
	config.Engine.Model = ModelName
	config.Engine.Version = modelVersion
	for i := range config.Engines + config.SpareEngines {
		if i >= config.Engines {
			config.Engine.Model = spareModel
		}
		e := standinengine.New(config.Engine)
		handler := http.Handler(e)
		if config.WrapEngine != nil {
			handler = config.WrapEngine(i, e)
		}
		url, err := s.serve(handler)
		if err != nil {
			return err
		}
		s.Engines = append(s.Engines, e)
		s.EngineURLs = append(s.EngineURLs, url)
	}
	for range config.Plains {
		p := plain.New(config.Plain)
		url, err := s.serve(p)
		if err != nil {
			return err
		}
		s.Plains = append(s.Plains, p)
		s.PlainURLs = append(s.PlainURLs, url)
	}
	return nil
}

// serve serves a stand-in on the next port, or on a free one if the configured port is 0.
func (s *StandIns) serve(handler http.Handler) (string, error) {
	url, err := s.servers.serve(s.next.String(), handler)
	if s.next.Port() != 0 {
		s.next = netip.AddrPortFrom(s.next.Addr(), s.next.Port()+1)
	}
	return url, err
}

// Stop stops all stand-ins immediately, without completing requests.
func (s *StandIns) Stop() { s.servers.close() }

// UsageText returns a text with the URLs of the stand-ins and an example of a VM list.
func (s *StandIns) UsageText() string {
	var b strings.Builder
	fmt.Fprintf(&b, "stand-ins are running: %d engines of model %s, %d plain services\n\n", len(s.Engines), ModelName, len(s.Plains))
	for _, service := range []string{platform.PathTable, platform.PathObjects, platform.PathVMs, platform.PathWeights} {
		fmt.Fprintf(&b, "platform %-9s %s%s\n", service[1:], s.PlatformURL, service)
	}
	for _, url := range s.EngineURLs {
		fmt.Fprintf(&b, "engine             %s\n", url)
	}
	for _, url := range s.PlainURLs {
		fmt.Fprintf(&b, "plain service      %s\n", url)
	}
	fmt.Fprintf(&b, "\nTell the platform which VMs there are:\n")
	fmt.Fprintf(&b, "curl -X PUT %s%s -d '[{\"id\":\"engine-1\",\"role\":\"agent\",\"zone\":\"zone-a\",\"link\":\"127.0.0.1:7101\",\"service\":\"%s\"}]'\n",
		s.PlatformURL, platform.PathVMs, ModelService)
	return b.String()
}
