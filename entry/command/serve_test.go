package command

import (
	"bytes"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	agentprocess "acaciacleat.example/agent/process"
	agentserve "acaciacleat.example/agent/serve"
	agentsettings "acaciacleat.example/agent/settings"
	"acaciacleat.example/entry/dev"
	"acaciacleat.example/entry/process"
	"acaciacleat.example/entry/serve"
	"acaciacleat.example/entry/settings"
	shared "acaciacleat.example/peers/settings"
	"acaciacleat.example/peers/vmlist"
	"acaciacleat.example/standin/platform"
	"github.com/stretchr/testify/require"
)

const (
	agentText = `{"vm":{"id":"%s","zone":"zone-a"},"link":{"listen":"127.0.0.1:0","currentKey":{"file":"%s"}},
		"upstream":{"kind":"%s","service":"%s","model":"%s","url":"%s"},"platform":%s}`
	entryText = `{"vm":{"id":"%s","zone":"zone-a"},"callers":{"listen":"127.0.0.1:0"},"operators":{"listen":"127.0.0.1:0"},
		"link":{"listen":"127.0.0.1:0","currentKey":{"env":"TEST_LINK_KEY"}},"platform":%s,"drain":{"readyOffMs":0}}`
	tlsText     = `{"listen":"127.0.0.1:0","tls":{"certFile":"%s","keyFile":"%s"}}`
	testLinkKey = "a key for this test alone, 32 bytes or more"
)

// fleet is a set of processes that run from settings files, with the channels to stop them.
type fleet struct {
	t        *testing.T
	dir      string
	standIns *dev.StandIns
	vms      []vmlist.VM
	entries  []*process.Entry
	signals  []chan os.Signal
	ended    []chan error
}

func newFleet(t *testing.T) *fleet {
	standIns, err := dev.StartStandIns(dev.StandInsConfig{Listen: "127.0.0.1:0", Engines: 1, Plains: 1})
	require.NoError(t, err)
	t.Cleanup(standIns.Stop)
	t.Setenv("TEST_LINK_KEY", testLinkKey)
	f := &fleet{t: t, dir: t.TempDir(), standIns: standIns}
	f.write("link.key", testLinkKey)
	t.Cleanup(f.stopAll)
	return f
}

func (f *fleet) write(name, text string) string {
	path := filepath.Join(f.dir, name)
	require.NoError(f.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func (f *fleet) platform() string {
	base := f.standIns.PlatformURL
	return fmt.Sprintf(`{"table":"%s/table","objects":"%s/objects","vms":"%s/vms","weights":"%s/weights"}`, base, base, base, base)
}

// startProcess starts run with a channel of signals to stop it, and waits until it has started.
func (f *fleet) startProcess(run func(signals <-chan os.Signal) error, started <-chan struct{}) {
	signals, ended := make(chan os.Signal, 2), make(chan error, 1)
	f.signals = append(f.signals, signals)
	f.ended = append(f.ended, ended)
	go func() { ended <- run(signals) }()
	select {
	case <-started:
	case err := <-ended:
		f.t.Fatalf("process ended: %v", err)
	}
}

func (f *fleet) agent(id, kind, service, model, upstream string) {
	text := fmt.Sprintf(agentText, id, filepath.Join(f.dir, "link.key"), kind, service, model, upstream, f.platform())
	s, err := shared.ReadFile(f.write(id+".json", text), agentsettings.Parse)
	require.NoError(f.t, err)
	started := make(chan struct{})
	var addr string
	f.startProcess(func(signals <-chan os.Signal) error {
		return agentserve.Run(s, agentserve.Environment{Log: io.Discard, Signals: signals, Started: func(a *agentprocess.Agent) {
			addr = a.Addr()
			close(started)
		}})
	}, started)
	f.vms = append(f.vms, vmlist.VM{ID: id, Role: vmlist.RoleAgent, Zone: "zone-a", Link: addr, Service: service})
}

func (f *fleet) entry(id string) {
	f.entryWithSettings(id, fmt.Sprintf(entryText, id, f.platform()))
}

func (f *fleet) entryWithSettings(id, text string) {
	s, err := shared.ReadFile(f.write(id+".json", text), settings.Parse)
	require.NoError(f.t, err)
	started := make(chan struct{})
	f.startProcess(func(signals <-chan os.Signal) error {
		return serve.Run(s, serve.Environment{Log: io.Discard, Signals: signals, Started: func(e *process.Entry) {
			f.entries = append(f.entries, e)
			close(started)
		}})
	}, started)
	// An entry listens before it has read the documents, and refuses requests until then.
	eventually(f.t, f.entries[len(f.entries)-1].Ready)
}

// publishVMs puts the list of VMs into the stand-in of the platform, as its operator would.
func (f *fleet) publishVMs() {
	list, err := json.Marshal(f.vms)
	require.NoError(f.t, err)
	request, err := http.NewRequest(http.MethodPut, f.standIns.PlatformURL+platform.PathVMs, bytes.NewReader(list))
	require.NoError(f.t, err)
	answer, err := http.DefaultClient.Do(request)
	require.NoError(f.t, err)
	answer.Body.Close()
	require.Equal(f.t, http.StatusNoContent, answer.StatusCode)
}

// signal sends SIGTERM to all processes.
func (f *fleet) signal() {
	for _, signals := range f.signals {
		signals <- syscall.SIGTERM
	}
}

func (f *fleet) wait() {
	for _, ended := range f.ended {
		require.NoError(f.t, <-ended)
	}
	f.ended = nil
}

// stopAll stops all processes that still run, without a graceful shutdown.
func (f *fleet) stopAll() {
	if f.ended != nil {
		f.signal()
		f.signal()
		f.wait()
	}
}

// runOperatorCommand runs a command against the first entry.
func (f *fleet) runOperatorCommand(args ...string) (code int, stdout, stderr string) {
	var out, errOut bytes.Buffer
	args = append(args, "--operator", "http://"+f.entries[0].OperatorAddr())
	code = Main(args, &out, &errOut)
	return code, out.String(), errOut.String()
}

func (f *fleet) send(entry int, path, body string) (*http.Response, string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+f.entries[entry].Addr()+path, strings.NewReader(body))
	require.NoError(f.t, err)
	request.Header.Set("Authorization", "Bearer "+dev.Key)
	answer, err := http.DefaultClient.Do(request)
	require.NoError(f.t, err)
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	require.NoError(f.t, err)
	return answer, string(data)
}

// readyz returns the status of the first entry's /readyz, or 0 if it does not answer.
func (f *fleet) readyz() int {
	answer, err := http.Get("http://" + f.entries[0].OperatorAddr() + "/readyz")
	if err != nil {
		return 0
	}
	answer.Body.Close()
	return answer.StatusCode
}

// eventually waits for a condition that other goroutines fulfil; the timeout is generous and only
// ends a failed test.
func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, time.Minute, 5*time.Millisecond)
}

// Entries and agents that run from settings files must serve models and plain services, and a
// request that is in flight when all of them are signalled to stop must still be answered.
func TestProcessesFromSettingsServeAndDrain(t *testing.T) {
	f := newFleet(t)
	entered, gate := make(chan struct{}), make(chan struct{})
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(entered)
			<-gate
		}
		f.standIns.Plains[0].ServeHTTP(w, r)
	}))
	defer upstream.Close()
	f.agent("engine-1", "engine", dev.ModelService, dev.ModelName, f.standIns.EngineURLs[0])
	f.agent("plain-1", "plain", dev.PlainService, "", upstream.URL)
	f.entry("entry-1")
	f.entry("entry-2")
	f.publishVMs()
	for _, file := range []string{modelDocument(f), plainDocument(f, "POST")} {
		code, out, errOut := f.runOperatorCommand("document", "put", file)
		require.Zero(t, code, errOut)
		require.Contains(t, out, "accepted")
	}
	for i := range f.entries {
		eventually(t, func() bool {
			answer, _ := f.send(i, "/v1/services/parts/jobs", `{"part":"pump"}`)
			return answer.StatusCode == http.StatusCreated
		})
		eventually(t, func() bool {
			_, data := f.send(i, "/v1/chat/completions", `{"model":"assistant-1","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"q"}]}`)
			return strings.HasSuffix(data, "data: [DONE]\n\n")
		})
	}
	// A request is in flight when all processes are signalled to stop.
	type reply struct {
		status int
		body   string
	}
	replies := make(chan reply, 1)
	go func() {
		answer, data := f.send(0, "/v1/services/parts/slow", "the whole answer")
		replies <- reply{answer.StatusCode, data}
	}()
	<-entered
	f.signal()
	eventually(t, func() bool { return f.readyz() == http.StatusServiceUnavailable })
	close(gate)
	require.Equal(t, reply{http.StatusOK, "the whole answer"}, <-replies)
	f.wait()
	_, err := http.Get("http://" + f.entries[0].Addr())
	require.Error(t, err)
}

func TestBothAddressesServeTLS(t *testing.T) {
	f := newFleet(t)
	sample := httptest.NewTLSServer(http.NotFoundHandler())
	defer sample.Close()
	pair := sample.TLS.Certificates[0]
	key, err := x509.MarshalPKCS8PrivateKey(pair.PrivateKey)
	require.NoError(t, err)
	certFile := f.write("cert.pem", string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: pair.Certificate[0]})))
	keyFile := f.write("key.pem", string(pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: key})))
	text := fmt.Sprintf(entryText, "entry-1", f.platform())
	f.entryWithSettings("entry-1", strings.ReplaceAll(text, `{"listen":"127.0.0.1:0"}`, fmt.Sprintf(tlsText, certFile, keyFile)))

	var out, errOut bytes.Buffer
	list := []string{"document", "list", "--operator", "https://" + f.entries[0].OperatorAddr()}
	require.NotZero(t, Main(list, &out, &errOut), "the certificate is not trusted")
	require.Zero(t, Main(append(list, "--ca-file", certFile), &out, &errOut), errOut.String())
	answer, err := sample.Client().Get("https://" + f.entries[0].Addr() + "/v1/models")
	require.NoError(t, err)
	answer.Body.Close()
	require.NotNil(t, answer.TLS)
	require.NotEmpty(t, answer.Header.Get("X-Request-Id"))
}

// Requests must not fail during a graceful shutdown although other entries are available: the load
// balancer sends requests until it next polls /readyz, so a draining entry accepts them, and a
// revision that is applied meanwhile does not make it ready again.
func TestDrainAcceptsRequestsUntilTheBalancerNotices(t *testing.T) {
	f := newFleet(t)
	text := fmt.Sprintf(entryText, "entry-1", f.platform())
	f.entryWithSettings("entry-1", strings.Replace(text, `"readyOffMs":0`, `"readyOffMs":600000`, 1))
	f.runOperatorCommand("document", "put", plainDocument(f, "POST"))
	require.Equal(t, http.StatusOK, f.readyz())
	f.signal()
	eventually(t, func() bool { return f.readyz() == http.StatusServiceUnavailable })
	code, _, _ := f.runOperatorCommand("document", "put", plainDocument(f, "PUT"))
	require.Zero(t, code)
	require.Equal(t, http.StatusServiceUnavailable, f.readyz())
	_, body := f.send(0, "/v1/services/parts/jobs", "{}")
	require.Contains(t, body, "no_replica", "the request was taken and routed")
}
