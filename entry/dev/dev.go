// Package dev runs a deployment in one process, with stand-ins for the platform, the engines and
// the plain services, for development and tests.
package dev

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"acaciacleat.example/agent/process"
	"acaciacleat.example/agent/server"
	"acaciacleat.example/core/document"
	"acaciacleat.example/core/footprint"
	"acaciacleat.example/core/scheduling"
	"acaciacleat.example/entry/front"
	"acaciacleat.example/entry/placement"
	entryprocess "acaciacleat.example/entry/process"
	"acaciacleat.example/peers/documents"
	"acaciacleat.example/peers/engine"
	"acaciacleat.example/peers/link"
	"acaciacleat.example/peers/service"
	"acaciacleat.example/peers/table"
	"acaciacleat.example/peers/vmlist"
	standinengine "acaciacleat.example/standin/engine"
	"acaciacleat.example/standin/plain"
	"acaciacleat.example/standin/relay"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// Names and the bearer token in a development deployment.
const (
	// Key is the bearer token of the default organisation.
	Key          = "dev-key"
	ModelService = "assistant"
	ModelName    = "assistant-1"
	PlainService = "parts"
	organisation = "dev"
	modelVersion = "1"
	// spareModel is the model that spare engines serve; the documents do not contain it.
	spareModel = "spare"
)

// Config configures a deployment.
type Config struct {
	// Listen and OperatorListen are the addresses of the first entry. The other entries listen on
	// free ports.
	Listen         string
	OperatorListen string
	Engines        int
	// SpareEngines is the number of engines beyond the replicas; they serve no model of the
	// document.
	SpareEngines int
	Plains       int
	Entries      int
	Zones        []string
	// Policy is the routing and scheduling policy: "naive" or "combined".
	Policy    string
	Objective document.Objective
	Engine    standinengine.Config
	// Plain is the behaviour of the stand-in plain services.
	Plain plain.Config
	// WrapEngine, if not nil, wraps the HTTP handler of each engine.
	WrapEngine func(engine int, next http.Handler) http.Handler
	// Organisations may call both services; the default is one organisation with Key.
	Organisations []document.Organisation
	// Relays puts a relay in front of each agent, so that tests can disrupt links.
	Relays bool
	// Placement holds the settings for the placement of replicas; zero for the defaults.
	Placement placement.Settings
	// Limits bound the resources of a request at an entry; zero for the defaults.
	Limits front.Limits
	// WrapTable, if not nil, wraps the platform's table for each entry.
	WrapTable func(entry int, store table.Store) table.Store
	Log       zerolog.Logger
}

// DefaultConfig returns a configuration with four engines: the longest prompt needs the memory of
// three, see contextTokens.
func DefaultConfig() Config {
	return Config{
		Listen:         "127.0.0.1:8080",
		OperatorListen: "127.0.0.1:8081",
		Engines:        4,
		Plains:         3,
		Entries:        1,
		Zones:          []string{"zone-a", "zone-b", "zone-c"},
		Policy:         "combined",
		Objective:      document.TimeToFirstToken,
	}
}

// Deployment is a running deployment.
type Deployment struct {
	*StandIns
	Entries []*entryprocess.Entry
	Agents  []*process.Agent
	// Relays has one relay per agent if Config.Relays is set.
	Relays []*relay.Relay

	config Config
	// keys authenticate the links.
	keys *link.Keys
	vms  []vmlist.VM
	// agentConfigs and entryConfigs are the configurations with which RestartAgent and RestartEntry
	// start new incarnations.
	agentConfigs []server.Config
	entryConfigs []entryprocess.Config
}

// Start starts a deployment, which runs until Stop, and waits until its entries are ready.
func Start(config Config) (*Deployment, error) {
	standIns, err := StartStandIns(StandInsConfig{
		Listen:       "127.0.0.1:0",
		Engines:      config.Engines,
		SpareEngines: config.SpareEngines,
		Plains:       config.Plains,
		Engine:       config.Engine,
		Plain:        config.Plain,
		WrapEngine:   config.WrapEngine,
	})
	if err != nil {
		return nil, err
	}
	d := &Deployment{
		StandIns: standIns,
		config:   config,
		keys:     link.NewKeys([]byte(documents.NewToken()), nil),
	}
	if err := d.start(); err != nil {
		d.Stop()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start() error {
	for i := range d.Engines {
		if err := d.startEngineAgent(i); err != nil {
			return err
		}
	}
	for i := range d.Plains {
		if err := d.startPlainAgent(i); err != nil {
			return err
		}
	}
	d.Platform.VMs.Set(d.vms...)
	if err := d.putDocuments(); err != nil {
		return err
	}
	for i := range d.config.Entries {
		if err := d.startEntry(i); err != nil {
			return err
		}
	}
	return d.waitReady()
}

func (d *Deployment) zone(i int) string { return d.config.Zones[i%len(d.config.Zones)] }

// startEngineAgent starts the agent of an engine that is already running.
func (d *Deployment) startEngineAgent(i int) error {
	model := ModelName
	if i >= d.config.Engines {
		model = spareModel
	}
	return d.addAgent(server.Config{
		VM:       fmt.Sprintf("engine-%02d", i),
		Zone:     d.zone(i),
		Service:  ModelService,
		Model:    model,
		Upstream: d.EngineURLs[i],
		Engine:   engine.NewHTTP(d.EngineURLs[i]),
		Table:    d.Platform.Table,
	})
}

// startPlainAgent starts the agent of a plain service that is already running.
func (d *Deployment) startPlainAgent(i int) error {
	return d.addAgent(server.Config{
		VM:       fmt.Sprintf("plain-%02d", i),
		Zone:     d.zone(i),
		Service:  PlainService,
		Upstream: d.PlainURLs[i],
		Plain:    service.NewHTTP(d.PlainURLs[i]),
	})
}

// queue returns an empty queue: first in, first out for plain services and under the naive policy,
// else by priority.
func (d *Deployment) queue(plain bool) scheduling.Queue {
	if plain || d.config.Policy == "naive" {
		return scheduling.NewFIFO(server.DefaultLimits.Queue)
	}
	return scheduling.NewPriority(scheduling.SettingsFor(d.config.Objective, 0))
}

// addAgent starts an agent and adds its VM to the VM list.
func (d *Deployment) addAgent(config server.Config) error {
	config.Listen = "127.0.0.1:0"
	config.Keys = d.keys
	config.Log = d.config.Log
	agent, err := d.runAgent(&config)
	if err != nil {
		return err
	}
	// A restarted agent listens on the same address.
	config.Listen = agent.Addr()
	address, err := d.linkAddress(agent.Addr())
	if err != nil {
		return err
	}
	d.Agents = append(d.Agents, agent)
	d.agentConfigs = append(d.agentConfigs, config)
	d.vms = append(d.vms, vmlist.VM{
		ID:      config.VM,
		Role:    vmlist.RoleAgent,
		Zone:    config.Zone,
		Link:    address,
		Service: config.Service,
	})
	return nil
}

// runAgent starts a new incarnation of an agent.
func (d *Deployment) runAgent(config *server.Config) (*process.Agent, error) {
	config.Incarnation = link.NewIncarnation()
	config.Queue = d.queue(config.Plain != nil)
	return process.Start(*config, d.Platform.VMs)
}

// linkAddress returns the address at which entries and other agents dial an agent: its own, or that
// of a new relay in front of it.
func (d *Deployment) linkAddress(agent string) (string, error) {
	if !d.config.Relays {
		return agent, nil
	}
	r, err := relay.New(agent)
	if err != nil {
		return "", err
	}
	d.Relays = append(d.Relays, r)
	return r.Addr(), nil
}

func (d *Deployment) documentStore(store table.Store) *documents.Store {
	return documents.New(documents.Config{Table: store, Objects: d.Platform.Objects, Token: documents.NewToken, Now: time.Now})
}

// putTimeout bounds the time to write the initial documents.
const putTimeout = 10 * time.Second

func (d *Deployment) putDocuments() error {
	ctx, cancel := context.WithTimeout(context.Background(), putTimeout)
	defer cancel()
	store := d.documentStore(d.Platform.Table)
	for _, service := range d.documents() {
		document.SetDefaults(service)
		if _, _, err := store.Put(ctx, service, ""); err != nil {
			return errors.Wrapf(err, "put document %s", service.Name)
		}
	}
	return nil
}

func (d *Deployment) documents() []*document.Service {
	organisations := d.config.Organisations
	if len(organisations) == 0 {
		organisations = []document.Organisation{{Name: organisation, KeyHashes: []string{document.HashKey(Key).String()}}}
	}
	return []*document.Service{
		{
			Name:      ModelService,
			Kind:      document.KindModel,
			Objective: d.config.Objective,
			Models: []document.Model{{
				Name:          ModelName,
				Version:       modelVersion,
				Replicas:      d.config.Engines,
				ContextTokens: contextTokens,
				EngineTokens:  engineTokens,
			}},
			Organisations: organisations,
		},
		{
			Name:          PlainService,
			Kind:          document.KindPlain,
			NonRepeatable: []document.CallPattern{{Method: "POST", Path: "/jobs"}},
			Organisations: organisations,
		},
	}
}

// The sizes of the model in tokens. Prompts of up to a million tokens need the memory of three
// engines.
const (
	contextTokens = 1_100_000
	engineTokens  = 400_000
)

func entryName(i int) string { return fmt.Sprintf("entry-%02d", i) }

func (d *Deployment) startEntry(i int) error {
	var store table.Store = d.Platform.Table
	if d.config.WrapTable != nil {
		store = d.config.WrapTable(i, store)
	}
	config := entryprocess.Config{
		VM:             entryName(i),
		Zone:           d.zone(i),
		Incarnation:    link.NewIncarnation(),
		Listen:         d.config.Listen,
		OperatorListen: d.config.OperatorListen,
		LinkListen:     "127.0.0.1:0",
		ReadyOff:       notReadyDelay,
		Keys:           d.keys,
		Table:          store,
		Documents:      d.documentStore(store),
		VMs:            d.Platform.VMs,
		Weights:        d.Platform.Weights,
		Placement:      d.config.Placement,
		Limits:         d.config.Limits,
		Footprint:      clientFootprint,

		OperatorFootprint: clientFootprint,

		Policies: entryprocess.Policies(d.config.Policy, uint64(link.NewIncarnation())),
		Log:      d.config.Log,
	}
	if i > 0 {
		config.Listen = "127.0.0.1:0"
		config.OperatorListen = "127.0.0.1:0"
	}
	e, err := entryprocess.Start(config)
	if err != nil {
		return err
	}
	// A restarted entry listens on the same addresses.
	config.Listen, config.OperatorListen, config.LinkListen = e.Addr(), e.OperatorAddr(), e.LinkAddr()
	d.Entries = append(d.Entries, e)
	d.entryConfigs = append(d.entryConfigs, config)
	d.vms = append(d.vms, vmlist.VM{ID: config.VM, Role: vmlist.RoleEntry, Zone: config.Zone, Link: e.LinkAddr()})
	d.Platform.VMs.Set(d.vms...)
	return nil
}

// clientFootprint bounds what callers hold at one entry, and operators at another address, in a process that also
// runs agents and stand-ins.
var clientFootprint = footprint.Limits{Bytes: 192 << 20, Conns: 1000}

// notReadyDelay is how long a draining entry reports "not ready" before it refuses requests. It is
// short because callers of a development deployment check readiness right before each request.
const notReadyDelay = 300 * time.Millisecond

// readyTimeout bounds the wait for all entries to become ready.
const readyTimeout = 10 * time.Second

func (d *Deployment) waitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, e := range d.Entries {
		for !e.Front.Ready() {
			if time.Now().After(deadline) {
				return errors.New("an entry did not become ready")
			}
			time.Sleep(readyPollInterval)
		}
	}
	return nil
}

const readyPollInterval = 5 * time.Millisecond

// Stop stops all processes immediately, without completing requests.
func (d *Deployment) Stop() {
	for _, e := range d.Entries {
		e.Stop()
	}
	for _, a := range d.Agents {
		a.Stop()
	}
	for _, r := range d.Relays {
		r.Close()
	}
	d.StandIns.Stop()
}

// Drain implements commandline.Drainer: the entries complete the requests in flight, until ctx ends
// at the latest. The agents and stand-ins, which produce the responses, stop only after that.
func (d *Deployment) Drain(ctx context.Context) {
	var drained sync.WaitGroup
	for _, e := range d.Entries {
		drained.Go(func() { e.Drain(ctx) })
	}
	drained.Wait()
	d.Stop()
}

// UsageText returns a text with the addresses of the deployment and example calls.
func (d *Deployment) UsageText() string {
	var b strings.Builder
	base := "http://" + d.Entries[0].Addr()
	fmt.Fprintf(&b, "acaciacleat is running: %d engines, %d plain services, %d entries\n\n", len(d.Engines), len(d.Plains), len(d.Entries))
	fmt.Fprintf(&b, "callers   %s\noperators http://%s\nkey       %s\n\n", base, d.Entries[0].OperatorAddr(), Key)
	fmt.Fprintf(&b, "curl -N %s/v1/chat/completions -H 'Authorization: Bearer %s' \\\n", base, Key)
	fmt.Fprintf(&b, "  -d '{\"model\":\"%s\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"Does span 14 need pruning?\"}]}'\n\n", ModelName)
	fmt.Fprintf(&b, "curl %s/v1/services/%s/jobs -H 'Authorization: Bearer %s' -H 'Idempotency-Key: job-1' -d '{\"part\":\"pump\"}'\n", base, PlainService, Key)
	return b.String()
}
