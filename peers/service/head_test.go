package service

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"acaciacleat.example/peers/framing"
	"github.com/stretchr/testify/require"
)

// Guards against the head of an answer that is read without end.
func TestEndlessHeadIsGivenUp(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		taken := make(chan int, 1)
		dial := func(context.Context, string, string) (net.Conn, error) {
			ours, theirs := net.Pipe()
			go func() {
				go func() { _, _ = io.Copy(io.Discard, theirs) }() // Ends with the connection.
				n, err := io.WriteString(theirs, "HTTP/1.1 200 OK\r\nX-Field: ")
				for one := 0; err == nil; n += one {
					one, err = io.WriteString(theirs, "xxxxxxxxxxxxxxxx")
				}
				taken <- n
			}()
			return ours, nil
		}
		client := NewHTTPWith("http://upstream.example", HTTPOptions{Dial: dial})
		_, err := client.Do(t.Context(), Call{Method: method, Path: "/", TimeLeft: time.Minute})
		require.ErrorIs(t, err, ErrOutcomeUnknown)
		require.LessOrEqual(t, <-taken, framing.MaxHeadBytes+16<<10)
	}
}
