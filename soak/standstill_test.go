package soak_test

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"acaciacleat.example/platform/standin"
	"acaciacleat.example/soak"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	// boundOfChanges is the platform's bound for a configuration and for an upstream that leaves.
	boundOfChanges = 2 * time.Second
	// standstillLimit bounds each wait of the test.
	standstillLimit = 20 * time.Second
	pollPause       = 2 * time.Millisecond
	// connectionsToEach is the number of requests that wait at each gateway when it runs again.
	connectionsToEach = 16
)

// startGateways starts gateways and waits until they are ready.
func startGateways(t *testing.T, store string, count int) []*soak.Gateway {
	program, err := os.Executable()
	require.NoError(t, err)
	var all []*soak.Gateway
	for i := range count {
		g, err := soak.StartGateway(program, t.TempDir(), fmt.Sprintf("entry-%d", i), store, "info")
		require.NoError(t, err)
		t.Cleanup(g.Kill)
		all = append(all, g)
	}
	for _, g := range all {
		require.Eventually(t, g.Ready, standstillLimit, pollPause)
	}
	return all
}

// standStill stops the processes of all gateways and returns once none of them runs.
func standStill(t *testing.T, gateways []*soak.Gateway) {
	for _, g := range gateways {
		require.NoError(t, syscall.Kill(g.PID(), syscall.SIGSTOP))
	}
	for _, g := range gateways {
		require.Eventually(t, func() bool {
			stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", g.PID()))
			return err == nil && strings.Contains(string(stat), ") T ")
		}, standstillLimit, pollPause)
	}
}

// connect opens connections to each gateway.
func connect(t *testing.T, gateways []*soak.Gateway) []net.Conn {
	var all []net.Conn
	for _, g := range gateways {
		for range connectionsToEach {
			conn, err := net.Dial("tcp", g.Callers())
			require.NoError(t, err)
			t.Cleanup(func() { conn.Close() })
			all = append(all, conn)
		}
	}
	return all
}

// exchangeAll sends a request for a path over each connection, then calls resume, and counts the answers by status.
func exchangeAll(t *testing.T, connections []net.Conn, path string, resume func()) map[int]int {
	for i, conn := range connections {
		call := standin.Call{ID: fmt.Sprintf("%s-%d", strings.Trim(path, "/"), i), Path: fmt.Sprintf("%s%d", path, i)}
		request, err := call.Request(conn.RemoteAddr().String())
		require.NoError(t, err)
		var text bytes.Buffer
		require.NoError(t, request.Write(&text))
		_, err = conn.Write(text.Bytes())
		require.NoError(t, err)
	}
	resume()
	statuses := make(map[int]int)
	for _, conn := range connections {
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(standstillLimit)))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		statuses[response.StatusCode]++
	}
	return statuses
}

// Guards against gateways that stood still, and then serve by the routes and upstreams of before.
func TestGatewaysThatStoodStillServeByWhatHasChanged(t *testing.T) {
	for _, stillFor := range []time.Duration{boundOfChanges + 100*time.Millisecond, 2 * boundOfChanges} {
		t.Run(stillFor.String(), func(t *testing.T) {
			t.Parallel()
			deployment, err := standin.Start("127.0.0.1:0", 0, 2)
			require.NoError(t, err)
			t.Cleanup(deployment.Stop)
			deployment.Configure(2, 0)
			leaving := deployment.Plains[0]
			for _, replica := range deployment.Plains {
				replica.Slots = 1000
				replica.Register(deployment.Store, "ready")
			}
			gateways := startGateways(t, deployment.Address(), 3)
			dropped, left := connect(t, gateways), connect(t, gateways)

			standStill(t, gateways)
			deployment.Configure(3, 0)
			deployment.Store.Remove("servers", leaving.ID)
			before := len(leaving.Runs())
			<-time.After(stillFor) // The bound is over when the requests are sent.
			resume := func() {
				for _, g := range gateways {
					require.NoError(t, syscall.Kill(g.PID(), syscall.SIGCONT))
				}
			}
			statuses := exchangeAll(t, dropped, standin.VersionPath(2), func() {
				t.Log(exchangeAll(t, left, "/lists/", resume))
			})
			assert.Equal(t, map[int]int{http.StatusNotFound: len(dropped)}, statuses, "the route of the version before is gone")
			assert.Len(t, leaving.Runs(), before, "the upstream has left")
		})
	}
}
