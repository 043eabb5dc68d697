package caller

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an aborted answer that looks complete to its caller.
func TestAbort(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		Abort(w, r)
	}))
	defer server.Close()
	for _, version := range []string{"1.0", "1.1"} {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		require.NoError(t, err)
		defer conn.Close()
		fmt.Fprintf(conn, "GET / HTTP/%s\r\nHost: x\r\n\r\n", version)
		answer, err := io.ReadAll(conn)
		require.Contains(t, string(answer), "part")
		if version == "1.0" {
			require.Error(t, err)
		} else {
			require.NotContains(t, string(answer), "\r\n0\r\n")
		}
	}
}
