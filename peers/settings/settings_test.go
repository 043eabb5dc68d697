package settings

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

type sample struct {
	VM       VM       `json:"vm"`
	Link     Link     `json:"link"`
	Platform Platform `json:"platform"`
	Log      Log      `json:"log"`
	Trace    Trace    `json:"trace"`
	TLS      TLS      `json:"tls"`
}

const validSettings = `{"vm":{"id":"a","zone":"z"},"link":{"listen":"127.0.0.1:0","currentKey":{"file":"key"}},
	"platform":{"table":"http://h/t","objects":"http://h/o","vms":"http://h/v","weights":"http://h/w"}}`

func parse(text string) (*sample, []Fault) {
	s := &sample{Platform: DefaultPlatform, Log: DefaultLog, Trace: DefaultTrace}
	faults := Parse([]byte(text), s, func(s *sample) []Fault {
		return append(append(s.Link.Check("$.link"), s.TLS.Check("$.tls")...), s.Trace.Check("$.trace")...)
	})
	return s, faults
}

func TestDefaultsFillOmittedFields(t *testing.T) {
	s, faults := parse(validSettings)
	require.Empty(t, faults)
	require.Equal(t, DefaultPlatformTimeoutMs, s.Platform.TimeoutMs)
	require.Equal(t, DefaultLogLevel, s.Log.Level)
	require.Equal(t, "http://h/w", s.Platform.Weights)
}

func TestAllFaultsAreReportedAtOnce(t *testing.T) {
	_, faults := parse(`{"vm":{"id":"","zone":"z","Zone":"z"},"link":{"listen":"host:80","currentKey":"the key itself",
		"previousKey":{"file":"a","env":"the key itself"}},"platform":{"table":"ftp://h","objects":"http://u:p@h","vms":"",
		"weights":"http://h?x=1","timeoutMs":0},"log":{"level":"loud"},"trace":{"exporter":"otlp"},"tls":{"keyFile":"k"},"more":1}`)
	var paths []string
	for _, fault := range faults {
		paths = append(paths, fault.Path)
		require.NotEmpty(t, fault.Allowed, fault.Path)
		require.NotEmpty(t, fault.Remedy, fault.Path)
		require.NotContains(t, fault.String(), "the key itself")
	}
	require.ElementsMatch(t, []string{"$.vm.id", "$.vm.Zone", "$.link.listen", "$.link.currentKey", "$.link.previousKey",
		"$.link.previousKey.env", "$.platform.table", "$.platform.objects", "$.platform.vms", "$.platform.weights",
		"$.platform.timeoutMs", "$.log.level", "$.trace.endpoint", "$.tls.certFile", "$.more"}, paths)
}

func TestSecretsComeFromFileOrEnvironment(t *testing.T) {
	file := filepath.Join(t.TempDir(), "key")
	require.NoError(t, os.WriteFile(file, []byte("0123456789abcdef0123456789abcdef\n"), 0o600))
	t.Setenv("LINK_KEY", "short and secret")
	current, previous, err := Link{CurrentKey: Secret{File: file}}.LoadKeys()
	require.NoError(t, err)
	require.Len(t, current, minKeyBytes)
	require.Nil(t, previous)
	_, _, err = Link{CurrentKey: Secret{Env: "LINK_KEY"}}.LoadKeys()
	require.ErrorContains(t, err, "LINK_KEY")
	require.NotContains(t, err.Error(), "short and secret")
	_, err = Secret{File: file + "x"}.Load()
	require.ErrorContains(t, err, file)
}
