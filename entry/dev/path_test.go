package dev

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a call of a plain service that is redirected, or refused, because of how its path is written.
func TestPathsOfPlainServicesReachThemAsTheyAre(t *testing.T) {
	d := startDeployment(t, func(c *Config) { c.Engines, c.Plains = 0, 1 })
	entry := d.Entries[0].Addr()
	for i, target := range []string{
		"/v1/services/parts/jobs", "/v1/services/parts/jobs/", "/v1/services/parts//jobs", "/v1/services/parts/./jobs", "/v1/services/parts/x/../jobs",
		"/v1/services/parts/a%2Fb/jobs?x=1", "/v1/services/p%61rts/jobs", "/v1/services/parts", "/v1/services/parts/", "http://" + entry + "/v1/services/parts/jobs",
	} {
		tag := fmt.Sprint("path-", i)
		conn, err := net.Dial("tcp", entry)
		require.NoError(t, err)
		fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nX-Call-Tag: %s\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}", target, entry, Key, tag)
		answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		text, err := io.ReadAll(answer.Body)
		require.NoError(t, err)
		require.NoError(t, conn.Close())
		require.Equal(t, 1, d.runCount(tag), "%s: %d %s", target, answer.StatusCode, text)
	}
}
