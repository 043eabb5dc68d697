package evacuation

import (
	"bytes"
	"strings"
	"testing"
	"time"

	core "acaciacleat.example/core/evacuation"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// recordingFleet records the evacuated zones.
type recordingFleet struct{ zones []string }

func (f *recordingFleet) SetEvacuated(_ time.Time, zones []string) { f.zones = zones }

func (*recordingFleet) InZone(zone string) (upstreams, requests int) {
	if zone == "empty" {
		return 0, 0
	}
	return 3, 7
}

func newKeeper() (*Keeper, *recordingFleet, *bytes.Buffer) {
	fleet, log := &recordingFleet{}, &bytes.Buffer{}
	return New(fleet, zerolog.New(log)), fleet, log
}

var now = time.Unix(1_700_000_000, 0)

// Guards against reports that entries pass to each other without end.
func TestOnlyNewsIsPassedOn(t *testing.T) {
	k, fleet, _ := newKeeper()
	report := core.Report{Changes: []core.Change{{Zone: "a", Version: 4, Evacuated: true}}}
	k.Receive(now, "other", report)
	require.Equal(t, []string{"a"}, fleet.zones)
	<-k.Pending()
	require.Equal(t, report, k.TakeReport(true))
	for range 3 {
		k.Receive(now, "another", report)
		k.ReceiveUpdate(now, "follower", report.Changes)
		k.Read(now, report.Changes, 0, 5)
	}
	require.Empty(t, k.Pending())
	require.Empty(t, k.TakeReport(true).Changes)
	require.Equal(t, core.Report{Changes: report.Changes, Position: 5}, k.Current())
}

// Guards against an entry that believes to know all zones before it or another entry has read them.
func TestKnownOnceAllWasRead(t *testing.T) {
	k, _, _ := newKeeper()
	k.Receive(now, "other", core.Report{Changes: []core.Change{{Zone: "a", Version: 4, Evacuated: true}}})
	require.False(t, k.Known())
	k.Receive(now, "other", core.Report{Position: 9})
	require.True(t, k.Known())
	require.Zero(t, k.Evacuated(), "the other entry knows that the zone was taken back")
}

// Guards against an entry that never asks others, or that asks them for ever.
func TestSourceIsLostUntilItIsHeardAgain(t *testing.T) {
	k, _, _ := newKeeper()
	require.False(t, k.SourceLost())
	k.ReadFailed()
	k.Receive(now, "other", core.Report{Position: 9})
	require.True(t, k.SourceLost(), "an answer tells nothing of later changes")
	k.ReceiveUpdate(now, "follower", nil)
	require.False(t, k.SourceLost())
	k.ReadFailed()
	k.Read(now, nil, 9, 9)
	require.False(t, k.SourceLost())
}

// Guards against an operator who can't see what an entry has taken up, and against a log full of another
// writer's keys.
func TestEvacuationsAreLogged(t *testing.T) {
	k, _, log := newKeeper()
	k.Read(now, []core.Change{{Zone: "a", Version: 4, Evacuated: true}, {Zone: "empty", Version: 5, Evacuated: true}}, 0, 5)
	k.Receive(now, "entry-2", core.Report{Changes: []core.Change{{Zone: "a", Version: 8}}})
	for _, line := range []string{
		`"zone":"a","version":4,"from":"store","upstreams":3,"requests":7,"message":"zone is evacuated; its upstreams get no more requests"`,
		`"zone":"empty","version":5,"from":"store","upstreams":0,"requests":0,"message":"zone is evacuated; no upstream is in it, but one may register"`,
		`"zone":"a","version":8,"from":"entry-2","upstreams":3,"requests":7,"message":"zone is taken back"`,
	} {
		require.Contains(t, log.String(), line)
	}
	log.Reset()
	for range 10 {
		k.RecordFaults(now, []error{errors.New("key"), errors.New("other key")})
	}
	require.EqualValues(t, 20, k.Unreadable())
	require.Equal(t, 1, strings.Count(log.String(), "\n"))
	k.Receive(now, "entry-2", core.Report{Changes: []core.Change{{Zone: "", Version: 9, Evacuated: true}}})
	require.Contains(t, log.String(), "evacuations were not taken up")
}

// Guards against every entry of a large fleet passing on what it has heard.
func TestOnlyRelaysPassOnWhatTheyHaveHeard(t *testing.T) {
	k, _, _ := newKeeper()
	k.Receive(now, "other", core.Report{Changes: []core.Change{{Zone: "a", Version: 4, Evacuated: true}}})
	read := []core.Change{{Zone: "b", Version: 5, Evacuated: true}}
	k.Read(now, read, 4, 5)
	require.Equal(t, read, k.TakeReport(false).Changes)
	require.Empty(t, k.TakeReport(true).Changes)
}
