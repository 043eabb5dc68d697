package capacity

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"acaciacleat.example/core/document"
	"acaciacleat.example/entry/process"
	"acaciacleat.example/peers/documents"
	"acaciacleat.example/peers/link"
	"acaciacleat.example/peers/vmlist"
	"acaciacleat.example/standin/platform"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// bearerKey is the key of the only organisation that sends requests.
const bearerKey = "capacity-key"

// startEntry starts an entry that routes to the given agents.
func startEntry(t testing.TB, agents ...vmlist.VM) *process.Entry {
	p := platform.New(1)
	store := documents.New(documents.Config{Table: p.Table, Objects: p.Objects, Token: documents.NewToken, Now: time.Now})
	service := assistantDocument(1)
	service.Organisations[0].KeyHashes = []string{document.HashKey(bearerKey).String()}
	service.Organisations[0].Limits = document.Limits{}
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	_, _, err := store.Put(ctx, service, documents.IfAbsent)
	require.NoError(t, err)
	p.VMs.Set(agents...)
	entry, err := process.Start(process.Config{
		VM: "entry-123", Zone: "zone-a", Incarnation: link.NewIncarnation(),
		Listen: "127.0.0.1:0", OperatorListen: "127.0.0.1:0", LinkListen: "127.0.0.1:0",
		Keys: keys, Table: p.Table, Documents: store, VMs: p.VMs, Policies: process.Policies("combined", 1), Log: zerolog.Nop(),
	})
	require.NoError(t, err)
	t.Cleanup(entry.Stop)
	waitFor(t, "the entry did not become ready", entry.Front.Ready)
	entry.View.SetVMs(agents)
	return entry
}

// assistantDocument returns the document of a model service that the given number of organisations
// may call.
func assistantDocument(organisations int) *document.Service {
	service := &document.Service{
		Name: serviceName, Kind: document.KindModel, Objective: document.TimeToFirstToken,
		Models: []document.Model{{Name: modelName, Version: "1", Replicas: 44, ContextTokens: 1_100_000, EngineTokens: 400_000}},
	}
	for i := range organisations {
		service.Organisations = append(service.Organisations, document.Organisation{
			Name:      fmt.Sprintf("organisation-%05d", i),
			KeyHashes: []string{document.HashKey(fmt.Sprint(i)).String()},
			Limits:    document.Limits{RequestsPerSecond: 10, TokensPerSecond: 100_000, Concurrency: 32},
		})
	}
	document.SetDefaults(service)
	return service
}

func agentVM(addr string) vmlist.VM {
	return vmlist.VM{ID: agentName, Role: vmlist.RoleAgent, Zone: "zone-a", Link: addr, Service: serviceName}
}

// firstTokenOnly accepts each offer, sends its first token and keeps no state, so that only the
// entry's memory of an open stream is measured.
func firstTokenOnly(c *link.Conn, message link.Message) {
	o, ok := message.(*link.Offer)
	if !ok {
		return
	}
	report := link.LoadReport{Agent: agentName, Incarnation: 1, Model: modelName}
	_ = c.Send(&link.Accepted{ID: o.ID, Attempt: o.Attempt, Load: report})
	_ = c.Send(&link.Chunk{ID: o.ID, Attempt: o.Attempt, Seq: 1, Tokens: 1, Data: []byte("token ")})
}

// chatRequest returns an HTTP chat request with a prompt of the given number of bytes.
func chatRequest(bytes int) string {
	body := `{"model":"` + modelName + `","stream":true,"messages":[{"role":"user","content":"` + strings.Repeat("x", bytes) + `"}]}`
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		bearerKey, len(body), body)
}

// BenchmarkCapacityOpenStreams reports an entry's memory per open stream, including both ends of its
// HTTP connection, by the number of streams and by the length of the prompt in bytes.
func BenchmarkCapacityOpenStreams(b *testing.B) {
	for _, c := range []struct{ streams, prompt int }{
		{100, promptBytes}, {200, promptBytes}, {1_000, promptBytes}, {200, 16 * promptBytes}, {200, 64 * promptBytes},
	} {
		b.Run(fmt.Sprintf("streams=%d/prompt=%d", c.streams, c.prompt), func(b *testing.B) {
			agent := startNode(b, agentName, handler{onMessage: firstTokenOnly})
			entry := startEntry(b, agentVM(agent.Addr()))
			heapGrowth := 0.0
			for b.Loop() {
				heapGrowth = streamHeap(b, entry, c.streams, c.prompt)
			}
			b.ReportMetric(heapGrowth/float64(c.streams), "heap-B/stream")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func streamHeap(b *testing.B, entry *process.Entry, streams, prompt int) float64 {
	request := []byte(chatRequest(prompt))
	conns := make([]net.Conn, streams)
	before := heapBytes()
	for i := range conns {
		conn, err := net.Dial("tcp", entry.Addr())
		require.NoError(b, err)
		_, err = conn.Write(request)
		require.NoError(b, err)
		conns[i] = conn
	}
	answer := make([]byte, 1)
	for _, conn := range conns {
		_, err := io.ReadFull(conn, answer)
		require.NoError(b, err)
	}
	heapGrowth := heapBytes() - before
	for _, conn := range conns {
		conn.Close()
	}
	return heapGrowth
}

// tokenStep is the time between two tokens in the target deployment.
const tokenStep = 39 * time.Millisecond

// BenchmarkCapacityRelay reports the CPU time of streams with one token every 39 ms: that of the
// entry, the agent and the callers' HTTP clients together, since all run in one process.
func BenchmarkCapacityRelay(b *testing.B) {
	for _, streams := range []int{50, 100, 200} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			const tokens = 50
			agent := startAgent(b, agentName, serviceName, &pacedEngine{tokens: tokens, step: tokenStep})
			entry := startEntry(b, agentVM(agent.Addr()))
			rounds, used, start := 0, cpuTime(), time.Now()
			for b.Loop() {
				rounds++
				relayAll(b, entry, streams)
			}
			usedTime, elapsed := cpuTime()-used, time.Since(start)
			b.ReportMetric(float64(usedTime.Microseconds())/float64(rounds*streams*tokens), "cpu-us/token")
			b.ReportMetric(100*usedTime.Seconds()/elapsed.Seconds(), "cpu-%core")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// relayAll sends requests concurrently and reads their responses to the end.
func relayAll(b *testing.B, entry *process.Entry, streams int) {
	var wait sync.WaitGroup
	var failed atomic.Int64
	body := chatRequest(promptBytes)
	body = body[strings.Index(body, "{"):]
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams}}
	defer client.CloseIdleConnections()
	for range streams {
		wait.Go(func() {
			if err := relayOne(client, entry.Addr(), body); err != nil {
				failed.Add(1)
			}
		})
	}
	wait.Wait()
	require.Zero(b, failed.Load(), "requests failed")
}

func relayOne(client *http.Client, addr, body string) error {
	request, err := http.NewRequest(http.MethodPost, "http://"+addr+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+bearerKey)
	answer, err := client.Do(request)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", answer.StatusCode)
	}
	_, err = io.Copy(io.Discard, answer.Body)
	return err
}

// BenchmarkCapacityRequest reports the CPU time of a request by the number of its tokens, which are
// generated without delay: that of the entry, the agent and the callers' HTTP clients together.
func BenchmarkCapacityRequest(b *testing.B) {
	for _, tokens := range []int{1, 64, 512} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			agent := startAgent(b, agentName, serviceName, &pacedEngine{tokens: tokens})
			entry := startEntry(b, agentVM(agent.Addr()))
			rounds, used := 0, cpuTime()
			for b.Loop() {
				rounds++
				relayAll(b, entry, concurrentRequests)
			}
			b.ReportMetric(float64((cpuTime()-used).Microseconds())/float64(rounds*concurrentRequests), "cpu-us/request")
			b.ReportMetric(0, "ns/op")
		})
	}
}
