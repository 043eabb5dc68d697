// Package dev runs stand-ins, agents and an entry as goroutines of one process, so that
// the system can be tried with one command.
package dev

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"acaciacleat.example/agent/process"
	"acaciacleat.example/agent/server"
	"acaciacleat.example/core/call"
	"acaciacleat.example/core/document"
	"acaciacleat.example/core/routing"
	"acaciacleat.example/core/scheduling"
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
	"acaciacleat.example/standin/platform"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// Names that the dev command prints.
const (
	Key          = "dev-key"
	ModelService = "assistant"
	ModelName    = "assistant-1"
	PlainService = "parts"
	organisation = "dev"
	modelVersion = "1"
	// spareModel is what a spare engine serves; no document names it.
	spareModel = "spare"
)

// weightRate is the stand-in weight store's rate in bytes a second.
const weightRate = 1 << 30

// Config is the size of the deployment that is run.
type Config struct {
	Listen         string
	OperatorListen string
	Engines        int
	// Spares are engines beyond the replicas, which serve no model of the document.
	Spares  int
	Plains  int
	Entries int
	Zones   []string
	// Policy is the routing and scheduling policy: "naive" or "combined".
	Policy    string
	Objective document.Objective
	Engine    standinengine.Config
	// Placement are the times and rates of placement; zero means the defaults.
	Placement placement.Settings
	// Table, if set, stands between an entry and the platform's table.
	Table func(entry int, store table.Store) table.Store
	Log   zerolog.Logger
}

// DefaultConfig has enough engines for a prompt that needs three of them.
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

// Deployment is what runs.
type Deployment struct {
	Platform *platform.Platform
	Entries  []*entryprocess.Entry
	Agents   []*process.Agent
	Engines  []*standinengine.Engine
	Plains   []*plain.Service
	// EngineURLs and PlainURLs are the base URLs of the stand-ins.
	EngineURLs []string
	PlainURLs  []string

	config  Config
	keys    *link.Keys
	servers []*http.Server
	vms     []vmlist.VM
}

// Start runs a deployment until Stop.
func Start(config Config) (*Deployment, error) {
	d := &Deployment{config: config, Platform: platform.New(weightRate), keys: link.NewKeys([]byte(token()), nil)}
	if err := d.start(); err != nil {
		d.Stop()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start() error {
	for i := range d.config.Engines + d.config.Spares {
		if err := d.startEngine(i); err != nil {
			return err
		}
	}
	for i := range d.config.Plains {
		if err := d.startPlain(i); err != nil {
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

func (d *Deployment) startEngine(i int) error {
	config := d.config.Engine
	config.Model = ModelName
	config.Version = modelVersion
	if i >= d.config.Engines {
		config.Model = spareModel
	}
	e := standinengine.New(config)
	url, err := d.serve(e)
	if err != nil {
		return err
	}
	d.Engines = append(d.Engines, e)
	d.EngineURLs = append(d.EngineURLs, url)
	return d.startAgent(server.Config{
		VM:       fmt.Sprintf("engine-%02d", i),
		Zone:     d.zone(i),
		Service:  ModelService,
		Model:    config.Model,
		Upstream: url,
		Engine:   engine.NewHTTP(url),
		Table:    d.Platform.Table,
		Queue:    d.queue(),
	})
}

func (d *Deployment) startPlain(i int) error {
	p := plain.New(plain.Config{})
	url, err := d.serve(p)
	if err != nil {
		return err
	}
	d.Plains = append(d.Plains, p)
	d.PlainURLs = append(d.PlainURLs, url)
	return d.startAgent(server.Config{
		VM:       fmt.Sprintf("plain-%02d", i),
		Zone:     d.zone(i),
		Service:  PlainService,
		Upstream: url,
		Plain:    service.NewHTTP(url),
		Queue:    scheduling.NewFIFO(server.DefaultLimits.Queue),
	})
}

func (d *Deployment) queue() scheduling.Queue {
	return scheduling.NewFIFO(server.DefaultLimits.Queue)
}

func (d *Deployment) startAgent(config server.Config) error {
	config.Listen = "127.0.0.1:0"
	config.Keys = d.keys
	config.Incarnation = Incarnation()
	config.Log = d.config.Log
	agent, err := process.Start(config, d.Platform.VMs)
	if err != nil {
		return err
	}
	d.Agents = append(d.Agents, agent)
	d.vms = append(d.vms, vmlist.VM{
		ID:      config.VM,
		Role:    vmlist.RoleAgent,
		Zone:    config.Zone,
		Link:    agent.Addr(),
		Service: config.Service,
	})
	return nil
}

// serve gives a stand-in an HTTP server of its own.
func (d *Deployment) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen for a stand-in")
	}
	s := &http.Server{Handler: handler}
	d.servers = append(d.servers, s)
	go func() { _ = s.Serve(listener) }()
	return "http://" + listener.Addr().String(), nil
}

func (d *Deployment) documentStore(store table.Store) *documents.Store {
	return documents.New(documents.Config{Table: store, Objects: d.Platform.Objects, Token: token, Now: time.Now})
}

// putTimeout bounds writing the first documents.
const putTimeout = 10 * time.Second

func (d *Deployment) putDocuments() error {
	ctx, cancel := context.WithTimeout(context.Background(), putTimeout)
	defer cancel()
	store := d.documentStore(d.Platform.Table)
	for _, service := range d.documents() {
		if _, _, err := store.Put(ctx, service, ""); err != nil {
			return errors.Wrapf(err, "put document %s", service.Name)
		}
	}
	return nil
}

func (d *Deployment) documents() []*document.Service {
	who := []document.Organisation{{Name: organisation, KeyHashes: []string{document.HashKey(Key).String()}}}
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
			Organisations: who,
		},
		{
			Name:          PlainService,
			Kind:          document.KindPlain,
			NonRepeatable: []document.CallPattern{{Method: "POST", Path: "/jobs"}},
			Organisations: who,
		},
	}
}

// The sizes that the brief gives: prompts of up to a million tokens, which need more
// than twice the memory of one engine.
const (
	contextTokens = 1_100_000
	engineTokens  = 400_000
)

func entryName(i int) string { return fmt.Sprintf("entry-%02d", i) }

func (d *Deployment) startEntry(i int) error {
	var store table.Store = d.Platform.Table
	if d.config.Table != nil {
		store = d.config.Table(i, store)
	}
	config := entryprocess.Config{
		VM:             entryName(i),
		Zone:           d.zone(i),
		Incarnation:    Incarnation(),
		Listen:         d.config.Listen,
		OperatorListen: d.config.OperatorListen,
		LinkListen:     "127.0.0.1:0",
		Keys:           d.keys,
		Table:          store,
		Documents:      d.documentStore(store),
		VMs:            d.Platform.VMs,
		Weights:        d.Platform.Weights,
		Placement:      d.config.Placement,
		Policies:       d.policy,
		Log:            d.config.Log,
	}
	if i > 0 {
		config.Listen = "127.0.0.1:0"
		config.OperatorListen = "127.0.0.1:0"
	}
	e, err := entryprocess.Start(config)
	if err != nil {
		return err
	}
	d.Entries = append(d.Entries, e)
	d.vms = append(d.vms, vmlist.VM{ID: config.VM, Role: vmlist.RoleEntry, Zone: config.Zone, Link: e.LinkAddr()})
	d.Platform.VMs.Set(d.vms...)
	return nil
}

func (d *Deployment) policy(name string) routing.Policy {
	if name == PlainService && d.config.Policy != "naive" {
		return routing.NewPlain()
	}
	policy, ok := routing.ByName(d.config.Policy, binary.LittleEndian.Uint64([]byte(token())))
	if !ok {
		return &routing.Naive{}
	}
	return policy
}

// readyTimeout bounds the wait for all entries to have read documents.
const readyTimeout = 10 * time.Second

func (d *Deployment) waitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, e := range d.Entries {
		for !e.Front.Ready() {
			if time.Now().After(deadline) {
				return errors.New("an entry did not become ready")
			}
			time.Sleep(readyPoll)
		}
	}
	return nil
}

const readyPoll = 5 * time.Millisecond

// Stop ends everything at once.
func (d *Deployment) Stop() {
	for _, e := range d.Entries {
		e.Stop()
	}
	for _, a := range d.Agents {
		a.Stop()
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
}

// Greeting tells how to call a running deployment.
func (d *Deployment) Greeting() string {
	var b strings.Builder
	base := "http://" + d.Entries[0].Addr()
	fmt.Fprintf(&b, "acaciacleat is running: %d engines, %d plain services, %d entries\n\n", len(d.Engines), len(d.Plains), len(d.Entries))
	fmt.Fprintf(&b, "callers   %s\noperators http://%s\nkey       %s\n\n", base, d.Entries[0].OperatorAddr(), Key)
	fmt.Fprintf(&b, "curl -N %s/v1/chat/completions -H 'Authorization: Bearer %s' \\\n", base, Key)
	fmt.Fprintf(&b, "  -d '{\"model\":\"%s\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"Does span 14 need pruning?\"}]}'\n\n", ModelName)
	fmt.Fprintf(&b, "curl %s/v1/services/%s/jobs -H 'Authorization: Bearer %s' -H 'Idempotency-Key: job-1' -d '{\"part\":\"pump\"}'\n", base, PlainService, Key)
	return b.String()
}

// Incarnation returns a new random incarnation.
func Incarnation() call.Incarnation {
	var b [8]byte
	// crypto/rand.Read never fails on the systems that Go supports.
	_, _ = rand.Read(b[:])
	return call.Incarnation(binary.LittleEndian.Uint64(b[:]) | 1)
}

func token() string {
	var b [16]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
