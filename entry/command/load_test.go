package command

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"acaciacleat.example/entry/dev"
	"acaciacleat.example/entry/load/report"
	"acaciacleat.example/peers/commandline"
	"github.com/stretchr/testify/require"
)

const loadMix = "../../examples/mixes/omuti-short.json"

func runMain(args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	code = Main(args, &out, &errs)
	return code, out.String(), errs.String()
}

// The load command must send its requests to all targets in equal numbers, and write its reports and
// its chart.
func TestLoadDrivesEntries(t *testing.T) {
	config := dev.DefaultConfig()
	config.Listen, config.OperatorListen = "127.0.0.1:0", "127.0.0.1:0"
	config.Engines, config.Plains, config.Entries = 1, 1, 2
	d, err := dev.Start(config)
	require.NoError(t, err)
	t.Cleanup(d.Stop)
	dir := t.TempDir()
	file, chart := filepath.Join(dir, "reports.json"), filepath.Join(dir, "chart.png")
	args := []string{"load", "--mix", loadMix, "--key", dev.Key, "--rate", "100", "--max-requests", "20", "--warmup", "0s", "--json", file, "--plot", chart}
	for _, e := range d.Entries {
		args = append(args, "--target", "http://"+e.Addr())
	}
	code, stdout, stderr := runMain(args...)
	require.Equal(t, commandline.ExitOK, code, stderr)
	require.Contains(t, stdout, "TTFT p50")
	f, err := report.Read(file)
	require.NoError(t, err)
	all, plain := f.Reports[0].Class(report.AllClass), f.Reports[0].Class(report.PlainClass)
	require.Equal(t, 20, all.OK+plain.OK)
	for _, e := range d.Entries {
		require.EqualValues(t, 10, e.Front.Metrics().Requests.Load())
	}
	require.FileExists(t, chart)
}

func TestLoadRejectsInvalidArguments(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "mix.json")
	require.NoError(t, os.WriteFile(bad, []byte(`{"modell": "x", "classes": []}`), 0o600))
	cases := []struct {
		name string
		args []string
		code int
		want []string
	}{
		{"no mix", nil, commandline.ExitUsage, []string{"--mix"}},
		{"no file", []string{"--mix", "none.json"}, commandline.ExitFailed, []string{"none.json"}},
		{"faults", []string{"--mix", bad}, commandline.ExitFailed, []string{"$.modell", "$.classes", "$.organisations", "$.model:"}},
		{"no target", []string{"--mix", loadMix, "--rate", "1"}, commandline.ExitUsage, []string{"--target"}},
		{"load without engines", []string{"--mix", loadMix, "--target", "http://127.0.0.1:1", "--load", "1"}, commandline.ExitUsage, []string{"--rate"}},
		{"unknown policy", []string{"--mix", loadMix, "--dev", "--policies", "naive,best"}, commandline.ExitUsage, []string{`"best"`, "power-of-two"}},
		{"long warm-up", []string{"--mix", loadMix, "--dev", "--duration", "1s"}, commandline.ExitUsage, []string{"warm-up"}},
		{"no runs", []string{"--mix", loadMix, "--dev", "--runs", "0"}, commandline.ExitUsage, []string{"--runs"}},
		{"no chart", []string{"--mix", loadMix, "--dev", "--plot", "a.jpeg"}, commandline.ExitUsage, []string{".png"}},
		{"no directory", []string{"--mix", loadMix, "--dev", "--json", "none/a.json"}, commandline.ExitFailed, []string{"none/a.json"}},
		{"no reports", []string{"--mix", loadMix, "--dev", "--plot", bad + ".png", "--against", "none.json"}, commandline.ExitFailed, []string{"none.json"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			code, _, stderr := runMain(append([]string{"load"}, tc.args...)...)
			require.Equal(t, tc.code, code)
			for _, want := range tc.want {
				require.Contains(t, stderr, want)
			}
		})
	}
}
