package caller

import "net/http"

// Abort breaks off an answer whose head has been sent. It doesn't return. A caller that knows no chunks (HTTP/1.0)
// takes the end of the connection for that of the answer, so its connection is reset instead of closed.
func Abort(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		resetConnection(w)
	}
	panic(http.ErrAbortHandler)
}

func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // The connection has ended.
	}
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0) // Fails only if the connection has ended.
	}
	_ = conn.Close()
}
