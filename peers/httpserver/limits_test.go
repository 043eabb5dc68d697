package httpserver

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"acaciacleat.example/core/footprint"
	"github.com/stretchr/testify/require"
)

var (
	smaller = Limits{HeadBytes: 100, BodyBytes: 1000, Version: 1}
	larger  = Limits{HeadBytes: 3 * headSlack, BodyBytes: 100000, Version: 2}
)

// startLimited serves bodies within limits that can be changed.
func startLimited(t *testing.T, first Limits) (s *Server, address string, change func(Limits)) {
	var limits atomic.Pointer[Limits]
	limits.Store(&first)
	s, address = startWith(t, func() Limits { return *limits.Load() }, func(w http.ResponseWriter, r *http.Request) {
		body, err := ReadBody(r, 0, time.Time{})
		if err != nil {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		fmt.Fprint(w, len(body))
	})
	return s, address, func(l Limits) { limits.Store(&l) }
}

// Guards against refusing a request by a limit that came into force while it was read, or that was no longer in force.
func TestLimitsThatChangeWhileARequestIsReadAllowWhatEitherDoes(t *testing.T) {
	body := strings.Repeat("x", 50000)
	head := "POST / HTTP/1.1\r\nHost: a\r\n" + chunked + "X: " + strings.Repeat("x", 2*headSlack) + "\r\n\r\n"
	text := "POST / HTTP/1.1\r\nHost: a\r\n" + chunked + "\r\n"
	for name, c := range map[string]struct {
		first, second string
		phase         footprint.Phase
		want          string
	}{
		"head":              {head[:headSlack], head[headSlack:] + inChunks("x", 1, "", ""), footprint.Head, "1"},
		"body":              {text + "a\r\n", strings.Repeat("x", 10) + "\r\n" + inChunks(body, 1000, "", ""), footprint.Body, "50010"},
		"body at the limit": {text + fmt.Sprintf("3e8\r\n%s\r\n", body[:1000]), inChunks(body, 10000, "", ""), footprint.Body, "51000"},
		"before its body":   {text[:30], text[30:] + inChunks(body, 1000, "", ""), footprint.Head, "50000"},
	} {
		for _, limits := range [][2]Limits{{smaller, larger}, {larger, smaller}} {
			s, address, change := startLimited(t, limits[0])
			conn := dial(t, address)
			_, err := io.WriteString(conn, c.first)
			require.NoError(t, err)
			require.Eventually(t, func() bool { return s.Usage().Phases[c.phase] == 1 }, waitTimeout, time.Millisecond)
			change(limits[1])
			status, got, _ := exchange(t, conn, c.second)
			require.Equal(t, http.StatusOK, status, "%s, version %d to %d", name, limits[0].Version, limits[1].Version)
			require.Equal(t, c.want, got)
			change(smaller)
			status, _, _ = exchange(t, conn, text+inChunks(body, 1000, "", ""))
			require.Equal(t, http.StatusRequestEntityTooLarge, status, "a request that begins after the change")
			require.NoError(t, s.Close())
		}
	}
}

// Guards against judging a request that was sent ahead by limits that came into force while it waited for its turn.
func TestRequestSentAheadIsJudgedByTheLimitsOfItsArrival(t *testing.T) {
	began, proceed := make(chan struct{}), make(chan struct{})
	var limits atomic.Pointer[Limits]
	limits.Store(&larger)
	_, address := startWith(t, func() Limits { return *limits.Load() }, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			close(began)
			<-proceed
		}
		if _, err := ReadBody(r, 0, time.Time{}); err != nil {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		}
	})
	conn := dial(t, address)
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"+post("/", withLength(strings.Repeat("x", 2000)), strings.Repeat("x", 2000)))
	require.NoError(t, err)
	<-began
	limits.Store(&smaller)
	close(proceed)
	require.Equal(t, []int{http.StatusOK, http.StatusOK}, answersTo(t, conn, "", true))
}

// Guards against a time limit that ends what began under a longer one, and against one that stays.
func TestTimeLimitLastsForWhatBeganUnderIt(t *testing.T) {
	var l lasting
	require.Equal(t, 10*time.Second, l.update(0, 10*time.Second))
	require.Equal(t, 10*time.Second, l.update(time.Second, 10*time.Second))
	require.Equal(t, 10*time.Second, l.update(time.Second+10*time.Second+networkSlack, 2*time.Second))
	require.Equal(t, 2*time.Second, l.update(time.Second+10*time.Second+networkSlack+1, 2*time.Second))
	require.Equal(t, 3*time.Second, l.update(13*time.Second, 3*time.Second), "a longer one holds at once")
}

// Guards against counting bodies, or what follows, to a head that is as long as the limit.
func TestHeadsOfTheLimitAmongBodiesAreServed(t *testing.T) {
	s, address := startForms(t)
	body := strings.Repeat("y", 3*headSlack)
	f := longHead(form{method: "POST", path: "/", fields: withLength(body), body: body, status: http.StatusOK}, 100)
	c := &client{TestingT: t, address: address}
	c.dial()
	defer c.close()
	var text strings.Builder
	for id := range 6 {
		text.WriteString(f.text(100 + id))
	}
	sent := c.send(text.String())
	for id := range 6 {
		c.await("sent ahead", f, 100+id)
	}
	require.NoError(t, <-sent)
	for range 6 {
		c.exchange("one after the other", f)
	}
	require.Zero(t, s.Ended()[footprint.HeadTooLarge])
}
