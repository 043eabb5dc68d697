// Package ending writes HTTP/1.1 answers that end in the ways in which an upstream may end them: framed by a
// length, by chunks or by the end of the connection, whole or cut off, with an orderly close or a reset.
package ending

import (
	"bytes"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"

	"acaciacleat.example/peers/framing"
)

// Cut is where an answer is cut off.
type Cut string

// The places at which an answer is cut off.
const (
	// Whole is an answer that isn't cut off.
	Whole Cut = "whole"
	// AfterHead cuts the answer off before its body.
	AfterHead Cut = "after-head"
	// InsideEvent cuts the answer off within the second event, or within a body of one piece.
	InsideEvent Cut = "inside-event"
	// BetweenEvents cuts the answer off after the first event.
	BetweenEvents Cut = "between-events"
)

// Ending is one way to end an answer.
type Ending struct {
	Framing framing.Framing
	Cut     Cut
	// Reset ends the connection with a reset instead of an orderly close.
	Reset bool
}

// All returns the endings whose outcome doesn't depend on timing. A reset right after an answer with a length or
// chunks may come before the caller has read it, so whole answers are reset only if the connection ends them.
func All() []Ending {
	var all []Ending
	for _, by := range []framing.Framing{framing.Length, framing.Chunks, framing.Close} {
		for _, cut := range []Cut{Whole, AfterHead, InsideEvent, BetweenEvents} {
			for _, reset := range []bool{false, true} {
				if cut != Whole || !reset || by == framing.Close {
					all = append(all, Ending{by, cut, reset})
				}
			}
		}
	}
	return all
}

// String returns the ending in the form that Parse reads.
func (e Ending) String() string {
	how := "closed"
	if e.Reset {
		how = "reset"
	}
	return fmt.Sprintf("%s/%s/%s", e.Framing, e.Cut, how)
}

// Parse returns the ending with this text form; ok is false if there is none.
func Parse(text string) (e Ending, ok bool) {
	for _, e := range All() {
		if e.String() == text {
			return e, true
		}
	}
	return Ending{}, false
}

// Complete reports whether the protocol lets a reader take the body for complete. events reports whether the body
// is an event stream: that one is broken off if its connection ends within an event or before any.
func (e Ending) Complete(events bool) bool {
	switch {
	case e.Reset:
		return false
	case e.Cut == Whole:
		return true
	case e.Framing != framing.Close:
		return false
	default:
		return !events || e.Cut == BetweenEvents
	}
}

// Write takes over the connection of w and answers with the pieces of a body, which are events or the whole. The
// request must have been read: closing a connection with unread bytes resets it.
func Write(w http.ResponseWriter, status int, pieces [][]byte, e Ending) error {
	header := w.Header().Clone()
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return err
	}
	defer conn.Close()
	if err := writeAnswer(conn, status, header, pieces, e); err != nil {
		return err
	}
	if tcp, ok := conn.(*net.TCPConn); ok && e.Reset {
		return tcp.SetLinger(0)
	}
	return nil
}

// Apply lets answer write an answer and ends it in the way that text names. Its body is cut between events.
func Apply(w http.ResponseWriter, text string, answer func(http.ResponseWriter)) {
	end, ok := Parse(text)
	if !ok {
		http.Error(w, "unknown ending "+text, http.StatusInternalServerError)
		return
	}
	recorded := httptest.NewRecorder()
	answer(recorded)
	maps.Copy(w.Header(), recorded.Header())
	pieces := bytes.SplitAfter(recorded.Body.Bytes(), []byte("\n\n"))
	_ = Write(w, recorded.Code, pieces, end) // The caller may have disconnected.
}

func writeAnswer(conn net.Conn, status int, header http.Header, pieces [][]byte, e Ending) error {
	body := bytes.Join(pieces, nil)
	switch e.Framing {
	case framing.Length:
		header.Set("Content-Length", fmt.Sprint(len(body)))
	case framing.Chunks:
		header.Set("Transfer-Encoding", "chunked")
	}
	header.Set("Connection", "close")
	var head strings.Builder
	fmt.Fprintf(&head, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = header.Write(&head) // A strings.Builder returns no errors.
	head.WriteString("\r\n")
	if _, err := conn.Write([]byte(head.String())); err != nil {
		return err
	}
	left := e.kept(pieces)
	for _, piece := range pieces {
		piece = piece[:min(left, len(piece))]
		left -= len(piece)
		if err := writePiece(conn, piece, e.Framing); err != nil {
			return err
		}
	}
	if e.Framing == framing.Chunks && e.Cut == Whole {
		_, err := conn.Write([]byte("0\r\n\r\n"))
		return err
	}
	return nil
}

func writePiece(conn net.Conn, piece []byte, by framing.Framing) error {
	if len(piece) == 0 {
		return nil
	}
	if by == framing.Chunks {
		piece = fmt.Appendf(nil, "%x\r\n%s\r\n", len(piece), piece)
	}
	_, err := conn.Write(piece)
	return err
}

// kept returns how many bytes of the body are sent.
func (e Ending) kept(pieces [][]byte) int {
	first, all := 0, len(bytes.Join(pieces, nil))
	if len(pieces) > 1 {
		first = len(pieces[0])
	}
	switch e.Cut {
	case AfterHead:
		return 0
	case BetweenEvents:
		return first
	case InsideEvent:
		second := all - first
		if len(pieces) > 1 {
			second = len(pieces[1])
		}
		return first + second/2
	default:
		return all
	}
}
