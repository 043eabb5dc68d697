package share

import (
	"net/netip"
	"strings"
	"testing"

	"acaciacleat.example/core/overlay"
	"acaciacleat.example/peers/table"
	"github.com/stretchr/testify/require"
)

func slotRowOf(key, value string) table.Row {
	return table.Row{Key: table.Key{Table: "relays", Row: key}, Version: 9, Value: []byte(value)}
}

// Guards against rows of another writer that name relays.
func TestInvalidSlotRowsNameNoRelay(t *testing.T) {
	relay, err := decodeRelay(slotRowOf("zone/a/3", `{"vm":"entry-1","link":"10.0.0.1:7"}`))
	require.NoError(t, err)
	require.Equal(t, overlay.Relay{VM: "entry-1", Zone: "zone/a", Link: "10.0.0.1:7", Slot: 3, Version: 9}, relay)
	for key, value := range map[string]string{
		"entry-1": `{"vm":"entry-1","link":"10.0.0.1:7"}`,
		"/1":      `{"vm":"entry-1","link":"10.0.0.1:7"}`,
		"a/8":     `{"vm":"entry-1","link":"10.0.0.1:7"}`,
		"a/-1":    `{"vm":"entry-1","link":"10.0.0.1:7"}`,
		"a/x":     `{"vm":"entry-1","link":"10.0.0.1:7"}`,
		"a/1":     `{"vm":"","link":"10.0.0.1:7"}`,
		"a/2":     `{"vm":"entry-1","link":"entry-1:7"}`,
		"a/3":     `{"vm":"entry-1","link":"10.0.0.1:0"}`,
		"a/4":     `17`,
	} {
		_, err := decodeRelay(slotRowOf(key, value))
		require.ErrorContains(t, err, "row")
	}
	_, err = decodeRelay(table.Row{Key: table.Key{Row: "a/1"}, Damaged: true})
	require.ErrorContains(t, err, "can't be read")
}

// Guards against a row that stops an entry or names a relay that can't be dialled.
func FuzzDecodeRelay(f *testing.F) {
	f.Add("zone-a/1", `{"vm":"entry-1","link":"10.0.0.1:7"}`)
	f.Add("/", `{}`)
	f.Fuzz(func(t *testing.T, key, value string) {
		relay, err := decodeRelay(slotRowOf(key, value))
		if err != nil {
			return
		}
		require.True(t, relay.VM != "" && relay.Zone != "" && relay.Slot >= 0 && relay.Slot < overlay.RelaysPerZone)
		require.True(t, strings.HasPrefix(key, relay.Zone+"/"))
		_, err = netip.ParseAddrPort(relay.Link)
		require.NoError(t, err)
	})
}
