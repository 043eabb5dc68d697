package share

import (
	"bytes"
	"testing"

	"acaciacleat.example/core/fetch"
	"github.com/stretchr/testify/require"
)

func TestPackedRoutesAreUnpackedAsTheyWere(t *testing.T) {
	value := bytes.Repeat([]byte(`{"Name":"a","Host":"b"},`), 10_000)
	packed, err := pack(value)
	require.NoError(t, err)
	require.Less(t, len(packed), len(value)/10)
	unpacked, err := unpack(packed)
	require.NoError(t, err)
	require.Equal(t, value, unpacked)
	_, err = unpack(packed[:len(packed)/2])
	require.Error(t, err)
}

// Guards against a small message that unpacks to more than an entry's memory.
func TestUnpackedRoutesAreBounded(t *testing.T) {
	packed, err := pack(make([]byte, maxUnpackedBytes+1))
	require.NoError(t, err)
	_, err = unpack(packed)
	require.ErrorContains(t, err, "more than")
}

func TestRoutesArePackedOncePerVersion(t *testing.T) {
	s := packedRoutes{Server: fetch.NewServer()}
	first, err := s.part("a", fetch.Request{}, []byte("one"), 1)
	require.NoError(t, err)
	again, err := s.part("b", fetch.Request{}, []byte("not packed"), 1)
	require.NoError(t, err)
	require.Equal(t, first, again)
	newer, err := s.part("a", fetch.Request{}, []byte("two"), 2)
	require.NoError(t, err)
	require.Equal(t, uint64(2), newer.Version)
}

func BenchmarkPack(b *testing.B) {
	value := bytes.Repeat([]byte(`{"Name":"r-0a1b2c3","Host":"h0f3e1.example","Prefix":"/0a1b2c3d/"},`), 15_000)
	b.SetBytes(int64(len(value)))
	for b.Loop() {
		if _, err := pack(value); err != nil {
			b.Fatal(err)
		}
	}
}
