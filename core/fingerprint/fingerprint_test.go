package fingerprint

import (
	"testing"

	_ "acaciacleat.example/core/seeded"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestEachFieldAffectsPrint(t *testing.T) {
	base := Request{Host: "h", Method: "POST", Path: "/a?b", Caller: "depot", Body: []byte("body")}
	require.Equal(t, Of(base), Of(base))
	for name, change := range map[string]func(*Request){
		"host":   func(r *Request) { r.Host = "i" },
		"method": func(r *Request) { r.Method = "PUT" },
		"path":   func(r *Request) { r.Path = "/a?c" },
		"caller": func(r *Request) { r.Caller = "" },
		"body":   func(r *Request) { r.Body = nil },
		"moved":  func(r *Request) { r.Path, r.Caller = "/a?bd", "epot" },
	} {
		other := base
		change(&other)
		require.NotEqual(t, Of(base), Of(other), name)
	}
}

func TestParseInvertsString(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		print := Of(Request{Body: rapid.SliceOf(rapid.Byte()).Draw(t, "body")})
		got, err := Parse(print.String())
		require.NoError(t, err)
		require.Equal(t, print, got)
	})
	for _, bad := range []string{"", "00", "zz", Of(Request{}).String() + "00"} {
		_, err := Parse(bad)
		require.Error(t, err, bad)
	}
}

func BenchmarkOf(b *testing.B) {
	r := Request{Host: "assistant.example", Method: "POST", Path: "/ask/x", Caller: "depot", Body: make([]byte, 20<<10)}
	b.SetBytes(int64(len(r.Body)))
	b.ReportAllocs()
	for b.Loop() {
		Of(r)
	}
}
