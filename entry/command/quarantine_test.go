package command

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"acaciacleat.example/core/fingerprint"
	"acaciacleat.example/entry/quarantine"
	"acaciacleat.example/platform"
	"acaciacleat.example/platform/standin"
	"github.com/stretchr/testify/require"
)

// run runs a command and returns its exit code and output.
func run(args ...string) (code int, out, errs string) {
	var stdout, stderr bytes.Buffer
	code = Main(args, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// The list must report a row that names no request and still show the others.
func TestQuarantineIsListedAndReleased(t *testing.T) {
	standins, err := standin.Start("127.0.0.1:0", 0, 0)
	require.NoError(t, err)
	t.Cleanup(standins.Stop)
	print := fingerprint.Of(fingerprint.Request{Path: "/ask"})
	value, err := json.Marshal(quarantine.Record{
		Crashes:     []quarantine.RecordedCrash{{Upstream: 1}, {Upstream: 2}, {Upstream: 3}},
		HeldUntilMs: 4_000_000_000_000, Times: 1, Route: "ask", Request: "id-1", WrittenMs: time.Now().Add(-time.Second).UnixMilli(),
	})
	require.NoError(t, err)
	standins.Store.Put(platform.TableQuarantine, print.String()+".entry-1", value)
	standins.Store.Put(platform.TableQuarantine, "foreign", []byte("x"))
	store := "--store=" + standins.Address()

	code, out, errs := run("quarantine", "list", store)
	require.Zero(t, code, errs)
	require.Contains(t, out, print.String())
	require.Contains(t, out, "2096-10-02T07:06:40Z")
	require.Contains(t, out, "id-1")
	require.Contains(t, errs, `row "foreign" names no request`)

	code, out, errs = run("quarantine", "release", store, print.String())
	require.Zero(t, code, errs)
	require.Contains(t, out, "is released")
	_, out, _ = run("quarantine", "list", store)
	require.Contains(t, out, "released 20")
}

func TestQuarantineReportsInvalidArguments(t *testing.T) {
	standins, err := standin.Start("127.0.0.1:0", 0, 0)
	require.NoError(t, err)
	t.Cleanup(standins.Stop)
	other := fingerprint.Of(fingerprint.Request{Path: "/other"}).String()
	for want, args := range map[string][]string{
		"--store":                    {"list", "--store=nowhere"},
		"FINGERPRINT: \"12\" is not": {"release", "--store=" + standins.Address(), "12"},
		"nothing is held against":    {"release", "--store=" + standins.Address(), other},
	} {
		code, _, errs := run(append([]string{"quarantine"}, args...)...)
		require.NotZero(t, code)
		require.Contains(t, errs, want)
	}
}
