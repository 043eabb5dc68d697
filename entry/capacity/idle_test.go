package capacity

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/entry/process"
	"acaciacleat.example/entry/record"
	"acaciacleat.example/peers/documents"
	"acaciacleat.example/peers/httpjson"
	"acaciacleat.example/peers/link"
	"acaciacleat.example/peers/vmlist"
	"acaciacleat.example/standin/platform"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// BenchmarkCapacityIdleEntry reports the CPU time of an entry without requests: its ticks, polls and
// reads of the VM list, including the stand-in server's time to write the list. All VMs in the list
// are agents, so that the entry opens no links.
func BenchmarkCapacityIdleEntry(b *testing.B) {
	for _, vms := range []int{100, 400, 1550} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			startIdleEntry(b, vms)
			used, start := cpuTime(), time.Now()
			time.Sleep(idlePeriod)
			b.ReportMetric(100*(cpuTime()-used).Seconds()/time.Since(start).Seconds(), "cpu-%core")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// idlePeriod is how long an idle entry is measured, enough for three reads of the VM list.
const idlePeriod = 3 * time.Second

func startIdleEntry(b *testing.B, vms int) {
	p := platform.New(1)
	list := makeVMs(vms)[:vms]
	body, err := json.Marshal(list)
	require.NoError(b, err)
	standIn := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) }))
	b.Cleanup(standIn.Close)
	store := documents.New(documents.Config{Table: p.Table, Objects: p.Objects, Token: documents.NewToken, Now: time.Now})
	_, _, err = store.Put(b.Context(), assistantDocument(1), documents.IfAbsent)
	require.NoError(b, err)
	entry, err := process.Start(process.Config{
		VM: "entry-123", Zone: "zone-a", Incarnation: link.NewIncarnation(),
		Listen: "127.0.0.1:0", OperatorListen: "127.0.0.1:0", LinkListen: "127.0.0.1:0",
		Keys: keys, Table: p.Table, Documents: store, VMs: vmlist.NewHTTP(standIn.URL, httpjson.Options{}),
		Policies: process.Policies("combined", 1), Log: zerolog.Nop(),
	})
	require.NoError(b, err)
	b.Cleanup(entry.Stop)
	waitFor(b, "the entry did not become ready", entry.Front.Ready)
}

// BenchmarkCapacityRecords reports the memory of the request records kept for explanations. An entry
// keeps the last 4,096.
func BenchmarkCapacityRecords(b *testing.B) {
	for _, requests := range []int{256, 1024, 4096} {
		b.Run(fmt.Sprintf("requests=%d", requests), func(b *testing.B) {
			before := heapBytes()
			ring := record.NewRing(requests)
			for i := range requests {
				r := ring.Begin(call.ID{byte(i), byte(i >> 8)})
				r.Update(func(r *record.Request) {
					r.Organisation, r.Service, r.Model = organisationName, serviceName, modelName
					r.Class, r.Deadline = "short", "2m0s"
				})
				for _, step := range []string{"admitted", "chosen", "offered", "accepted", "ended"} {
					r.Add(step, agentName, fmt.Sprintf("predicted first token in %dms", i))
				}
			}
			heapGrowth := heapBytes() - before
			b.ReportMetric(heapGrowth/float64(requests), "heap-B/request")
			b.ReportMetric(heapGrowth, "heap-B")
			b.ReportMetric(0, "ns/op")
			runtime.KeepAlive(ring)
		})
	}
}
