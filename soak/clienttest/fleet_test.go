package clienttest

import (
	"context"
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	agentsettings "acaciacleat.example/agent/settings"
	"acaciacleat.example/core/document"
	"acaciacleat.example/entry/dev"
	"acaciacleat.example/entry/settings"
	"acaciacleat.example/peers/documents"
	"acaciacleat.example/peers/operator"
	shared "acaciacleat.example/peers/settings"
	"acaciacleat.example/peers/vmlist"
	"github.com/stretchr/testify/require"
)

// agentMachine is the machine of an agent.
var agentMachine = machine{"agent", 216, 4096, 0.32}

// linkKeyVariable is the environment variable with the key of links.
const linkKeyVariable = "CLIENTTEST_LINK_KEY"

var linkKey = []string{linkKeyVariable + "=" + strings.Repeat("5a", 32)}

// fleet is an entry and its agents, one beside an engine and one beside a plain service, as processes.
type fleet struct {
	entry, engineAgent, plainAgent *child
	entryAddresses                 struct{ Callers, Operators, Link string }
	engineAddresses                struct{ Link, Metrics string }
	plainAddresses                 struct{ Link, Metrics string }
	standIns                       *dev.StandIns
}

func startFleet(t *testing.T, m machine) *fleet {
	standIns, err := dev.StartStandIns(dev.StandInsConfig{Listen: "127.0.0.1:0", Engines: 1, Plains: 1})
	require.NoError(t, err)
	t.Cleanup(standIns.Stop)
	f := &fleet{standIns: standIns}
	f.putDocuments(t)
	f.engineAgent = f.startAgent(t, "engine-1", agentsettings.Upstream{
		Kind: agentsettings.KindEngine, Service: dev.ModelService, Model: dev.ModelName, URL: standIns.EngineURLs[0],
	}, &f.engineAddresses)
	f.plainAgent = f.startAgent(t, "plain-1", agentsettings.Upstream{
		Kind: agentsettings.KindPlain, Service: dev.PlainService, URL: standIns.PlainURLs[0],
	}, &f.plainAddresses)
	s := settings.Default()
	s.VM = shared.VM{ID: "entry-1", Zone: "zone-a"}
	s.Callers.Listen, s.Operators.Listen = "127.0.0.1:0", "127.0.0.1:0"
	s.Link, s.Platform = f.link(), f.platform(s.Platform)
	s.Limits.MemoryMb, s.Limits.Descriptors = float64(m.memoryMb), m.descriptors
	f.entry = startChild(t, m, entryProgram, []string{"entry started"}, &f.entryAddresses, linkKey, "serve", "--settings", writeJSON(t, s))
	standIns.Platform.VMs.Set(
		vmlist.VM{ID: "entry-1", Role: vmlist.RoleEntry, Zone: "zone-a", Link: f.entryAddresses.Link},
		vmlist.VM{ID: "engine-1", Role: vmlist.RoleAgent, Zone: "zone-a", Link: f.engineAddresses.Link, Service: dev.ModelService},
		vmlist.VM{ID: "plain-1", Role: vmlist.RoleAgent, Zone: "zone-a", Link: f.plainAddresses.Link, Service: dev.PlainService},
	)
	f.awaitServing(t)
	return f
}

// awaitServing waits until ordinary requests are served.
func (f *fleet) awaitServing(t *testing.T) {
	calm := f.traffic()
	calm.client = http.DefaultClient
	require.Eventually(t, func() bool {
		for n := range 4 {
			if _, err := calm.attempt(t.Context(), n); err != nil {
				return false
			}
		}
		return true
	}, readyLimit, 50*time.Millisecond)
}

func (f *fleet) link() shared.Link {
	return shared.Link{Listen: "127.0.0.1:0", CurrentKey: shared.Secret{Env: linkKeyVariable}}
}

func (f *fleet) platform(defaults shared.Platform) shared.Platform {
	defaults.Table, defaults.Objects = f.standIns.PlatformURL+"/table", f.standIns.PlatformURL+"/objects"
	defaults.VMs, defaults.Weights = f.standIns.PlatformURL+"/vms", f.standIns.PlatformURL+"/weights"
	return defaults
}

func (f *fleet) startAgent(t *testing.T, vm string, upstream agentsettings.Upstream, addresses any) *child {
	s := agentsettings.Default()
	s.VM = shared.VM{ID: vm, Zone: "zone-a"}
	s.Link, s.Platform, s.Upstream = f.link(), f.platform(s.Platform), upstream
	s.Metrics.Listen = "127.0.0.1:0"
	return startChild(t, agentMachine, agentProgram, []string{"agent started"}, addresses, linkKey, "serve", "--settings", writeJSON(t, s))
}

func (f *fleet) putDocuments(t *testing.T) {
	organisations := []document.Organisation{{Name: "dev", KeyHashes: []string{document.HashKey(dev.Key).String()}}}
	store := documents.New(documents.Config{Table: f.standIns.Platform.Table, Objects: f.standIns.Platform.Objects, Token: documents.NewToken, Now: time.Now})
	for _, service := range []*document.Service{
		{
			Name: dev.ModelService, Kind: document.KindModel, Organisations: organisations,
			Models: []document.Model{{Name: dev.ModelName, Version: "1", Replicas: 1, ContextTokens: 1_100_000, EngineTokens: 400_000}},
		},
		{Name: dev.PlainService, Kind: document.KindPlain, Organisations: organisations},
	} {
		document.SetDefaults(service)
		_, _, err := store.Put(t.Context(), service, "")
		require.NoError(t, err)
	}
}

// traffic returns ordinary traffic: three of four requests go to the plain service.
func (f *fleet) traffic() *traffic {
	return &traffic{ready: f.entryAddresses.Operators, request: func(ctx context.Context, n int) *http.Request {
		path, body := "/v1/services/"+dev.PlainService+"/lists", "x"
		if n%4 == 0 {
			path = "/v1/chat/completions"
			body = fmt.Sprintf(`{"model":%q,"max_tokens":5,"messages":[{"role":"user","content":"Does span %d need pruning?"}]}`, dev.ModelName, n)
		}
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.entryAddresses.Callers+path, strings.NewReader(body))
		if err != nil {
			panic(err) // The address comes from a listener.
		}
		request.Header.Set("Authorization", "Bearer "+dev.Key)
		return request
	}}
}

// targets are paths at each address of the entry and the agents.
func (f *fleet) targets() []target {
	callers, operators := f.entryAddresses.Callers, f.entryAddresses.Operators
	return []target{
		{callers, "/v1/chat/completions", dev.Key},
		{callers, "/v1/services/" + dev.PlainService + "/jobs", dev.Key},
		{callers, "/v1/services/" + dev.PlainService + "/jobs", "unknown"},
		{callers, "/nowhere", ""},
		{callers, "/readyz", ""},
		{operators, "/readyz", ""},
		{operators, "/nowhere", ""},
		{operators, operator.PathDocuments + "/" + dev.PlainService, ""},
		{f.entryAddresses.Link, linkPath, ""},
		{f.engineAddresses.Link, linkPath, ""},
		{f.engineAddresses.Metrics, "/readyz", ""},
		{f.plainAddresses.Link, linkPath, ""},
		{f.plainAddresses.Metrics, "/debug/vars", ""},
	}
}

// Guards against clients that use up the memory or the descriptors of an entry or an agent, or keep ordinary callers
// from being served.
func TestEntryAndAgentsBearMisbehavingClients(t *testing.T) {
	for _, c := range crowds() {
		testCrowd(t, c, func(t *testing.T) {
			f := startFleet(t, machines[0])
			play(t, f.entry, c, f.targets(), f.traffic())
			t.Logf("agents: peak %s and %s", f.engineAgent.used(), f.plainAgent.used())
			f.engineAgent.requireSound(t)
			f.plainAgent.requireSound(t)
		})
	}
}

// developersMachine is the machine of a deployment in one process, whose settings name no bounds.
var developersMachine = machine{"developer", 2048, 4096, 8}

// Guards against the same for a deployment in one process.
func TestDeploymentInOneProcessBearsMisbehavingClients(t *testing.T) {
	for _, c := range crowds() {
		switch c.name {
		case "bodies in one piece", "bodies that stop before the last byte", "many short fields":
		default:
			continue
		}
		testCrowd(t, c, func(t *testing.T) {
			process := startChild(t, developersMachine, entryProgram, nil, nil, nil,
				"dev", "--listen", "127.0.0.1:0", "--operator-listen", "127.0.0.1:0", "--log-level", "warn")
			f := &fleet{}
			f.entryAddresses.Callers, f.entryAddresses.Operators = process.printed(t, "callers"), process.printed(t, "operators")
			f.awaitServing(t)
			play(t, process, c, f.targets()[:8], f.traffic())
		})
	}
}

// printed returns the address that the process has printed under a name.
func (c *child) printed(t *testing.T, name string) string {
	pattern := regexp.MustCompile(name + ` +http://(\S+)`)
	var found []string
	require.Eventually(t, func() bool {
		found = pattern.FindStringSubmatch(c.lastOutput())
		return found != nil
	}, startLimit, 10*time.Millisecond)
	return found[1]
}
