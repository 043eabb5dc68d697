package command

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"acaciacleat.example/core/document"
	"acaciacleat.example/entry/dev"
	"acaciacleat.example/peers/commandline"
	"github.com/stretchr/testify/require"
)

func organisations() string {
	return fmt.Sprintf(`[{"name":"dev","keyHashes":["%s"],"limits":{}}]`, document.HashKey(dev.Key))
}

func modelDocument(f *fleet) string {
	return f.write("assistant.json", `{"name":"assistant","kind":"model","models":[{"name":"assistant-1","version":"1","replicas":1,
		"contextTokens":1100000,"engineTokens":400000}],"upstreamsCheckFencing":false,"organisations":`+organisations()+`}`)
}

func plainDocument(f *fleet, method string) string {
	return f.write("parts-"+method+".json", `{"name":"parts","kind":"plain","nonRepeatable":[{"method":"`+method+`","path":"/jobs"}],
		"upstreamsCheckFencing":false,"organisations":`+organisations()+`}`)
}

func TestDocumentCommands(t *testing.T) {
	f := newFleet(t)
	f.entry("entry-1")
	post, put := plainDocument(f, "POST"), plainDocument(f, "PUT")

	code, out, errOut := f.runOperatorCommand("document", "put", post)
	require.Zero(t, code, errOut)
	require.Contains(t, out, `revision 1, ETag "1"`)
	require.Contains(t, out, "parts: accepted")
	code, out, _ = f.runOperatorCommand("document", "diff", put)
	require.Zero(t, code)
	require.Contains(t, out, `$.nonRepeatable["PUT /jobs"]: added`)

	// Two operators change the same document; the second one gets the difference.
	code, _, errOut = f.runOperatorCommand("document", "put", put, "--if-match", `"1"`)
	require.Zero(t, code, errOut)
	code, _, errOut = f.runOperatorCommand("document", "put", post, "--if-match", `"1"`)
	require.Equal(t, commandline.ExitFailed, code)
	require.Contains(t, errOut, `ETag "2", to yours`)
	require.Contains(t, errOut, `$.nonRepeatable["POST /jobs"]: added`)

	_, out, errOut = f.runOperatorCommand("document", "get", "parts")
	require.Equal(t, "ETag: \"2\"\n", errOut)
	service, faults := document.Parse([]byte(out))
	require.Empty(t, faults)
	require.Equal(t, "PUT", service.NonRepeatable[0].Method)
	_, out, _ = f.runOperatorCommand("document", "list")
	require.Contains(t, out, "parts    plain")
	_, out, _ = f.runOperatorCommand("document", "status", "parts")
	require.Contains(t, out, `"revision_in_force": 2`)
	_, out, _ = f.runOperatorCommand("document", "history", "parts", "--limit", "1")
	require.Contains(t, out, "revision 2")
	require.NotContains(t, out, "revision 1")
	code, _, _ = f.runOperatorCommand("document", "get", "none")
	require.Equal(t, commandline.ExitFailed, code)
}

// An entry must explain a request that it refused, by the ID in the answer, and say so if it does not
// have the request.
func TestExplainTellsWhyARequestWasRefused(t *testing.T) {
	f := newFleet(t)
	f.entry("entry-1")
	f.runOperatorCommand("document", "put", plainDocument(f, "POST"))
	answer, _ := f.send(0, "/v1/services/parts/jobs", "{}")
	code, out, _ := f.runOperatorCommand("explain", answer.Header.Get("X-Request-Id"))
	require.Zero(t, code)
	require.Contains(t, out, `"code_name": "no_replica"`)
	code, out, _ = f.runOperatorCommand("explain", "--service", "parts")
	require.Zero(t, code, out)
	require.Contains(t, out, `"service": "parts"`)
	code, _, _ = f.runOperatorCommand("explain")
	require.Equal(t, commandline.ExitUsage, code)
	code, _, errOut := f.runOperatorCommand("explain", strings.Repeat("0", 32))
	require.Equal(t, commandline.ExitFailed, code)
	require.Contains(t, errOut, "no longer")
}

// Clients that use the HTTP interface directly must get all faults of a document, the conflict with a
// stored one, and the outcome of a put.
func TestPutOverHTTP(t *testing.T) {
	f := newFleet(t)
	f.entry("entry-1")
	text, err := os.ReadFile(plainDocument(f, "POST"))
	require.NoError(t, err)
	sound := string(text)
	faulty := strings.NewReplacer(`"plain"`, `"grpc"`, `"/jobs"`, `"jobs"`).Replace(sound)
	for _, c := range []struct {
		name, path, body, match string
		status                  int
		want                    string
	}{
		{"all faults", "parts", faulty, "", http.StatusBadRequest, `"path":"$.nonRepeatable[0].path"`},
		{"other name", "jobs", sound, "", http.StatusBadRequest, "as in the path"},
		{"no stored document", "parts", sound, `"7"`, http.StatusPreconditionFailed, `"current":""`},
		{"new", "parts", sound, "", http.StatusOK, `"outcome": "accepted"`},
		{"repeated", "parts", sound, "", http.StatusOK, `"revision": 1`},
		{"no base", "parts", strings.Replace(sound, "POST", "PUT", 1), "", http.StatusPreconditionFailed, `"diff":[`},
		{"any base", "parts", strings.Replace(sound, "POST", "PUT", 1), "*", http.StatusOK, `"revision": 2`},
	} {
		t.Run(c.name, func(t *testing.T) {
			request, err := http.NewRequest(http.MethodPut, "http://"+f.entries[0].OperatorAddr()+"/v1/admin/documents/"+c.path, strings.NewReader(c.body))
			require.NoError(t, err)
			if c.match != "" {
				request.Header.Set("If-Match", c.match)
			}
			answer, err := http.DefaultClient.Do(request)
			require.NoError(t, err)
			defer answer.Body.Close()
			var body bytes.Buffer
			_, err = body.ReadFrom(answer.Body)
			require.NoError(t, err)
			require.True(t, json.Valid(body.Bytes()))
			require.Equal(t, c.status, answer.StatusCode, body.String())
			require.Contains(t, body.String(), c.want)
		})
	}
}

func TestCheckNamesAllFaultsAndExitsNonZero(t *testing.T) {
	file := filepath.Join(t.TempDir(), "entry.json")
	require.NoError(t, os.WriteFile(file, []byte(`{"vm":{"id":"a"},"more":1}`), 0o600))
	var out, errOut bytes.Buffer
	require.Equal(t, commandline.ExitFailed, Main([]string{"check", file}, &out, &errOut))
	for _, path := range []string{"$.vm.zone", "$.callers.listen", "$.link.currentKey", "$.platform.table", "$.more"} {
		require.Contains(t, out.String(), file+": "+path)
	}
	require.Equal(t, commandline.ExitFailed, Main([]string{"serve", "--settings", file}, &out, &errOut))
	require.Contains(t, errOut.String(), "$.more")
	require.Equal(t, commandline.ExitUsage, Main([]string{"serve"}, &out, &errOut))
}
