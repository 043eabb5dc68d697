package shutdown

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests that wait at a stopping entry for longer than it can serve them, and against
// refusing those that it can.
func TestRefuses(t *testing.T) {
	began := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	window := &Window{Began: began, ArrivalsEnd: began.Add(2500 * time.Millisecond), Ends: began.Add(8 * time.Second)}
	at := func(seconds float64) time.Time { return began.Add(time.Duration(seconds * float64(time.Second))) }
	late := at(30)
	cases := map[string]struct {
		window  *Window
		now     float64
		request Pending
		want    bool
	}{
		"not stopping":                         {nil, 7.9, Pending{Deadline: late, Answer: time.Minute}, false},
		"without a limit":                      {&Window{Began: began}, 7.9, Pending{Deadline: late, Answer: time.Minute}, false},
		"answer ends in time":                  {window, 2, Pending{Arrived: at(2), Deadline: late, FirstEvent: time.Second, Answer: 5 * time.Second}, false},
		"answer ends too late":                 {window, 2, Pending{Arrived: at(2), Deadline: late, FirstEvent: 2 * time.Second, Answer: 5 * time.Second}, true},
		"read after the end of arrivals":       {window, 2.6, Pending{Arrived: at(1), Read: at(2.6), Deadline: late}, true},
		"read late, deadline in the window":    {window, 2.6, Pending{Arrived: at(1), Read: at(2.6), Deadline: at(8), Answer: time.Second}, false},
		"read before the end of arrivals":      {window, 2.6, Pending{Arrived: at(1), Read: at(2.4), Deadline: late, Answer: time.Second}, false},
		"deadline within the window":           {window, 7, Pending{Arrived: at(2), Deadline: at(7.5), Answer: time.Second, Waits: true}, false},
		"waits for less than it still can":     {window, 4, Pending{Arrived: at(2), Deadline: late, Answer: time.Second, Waits: true}, false},
		"has waited for half of its time":      {window, 4.5, Pending{Arrived: at(2), Deadline: late, Answer: time.Second, Waits: true}, true},
		"waited before the stop began":         {window, 1, Pending{Arrived: at(-9), Deadline: late, Answer: time.Second, Waits: true}, false},
		"can be sent after half of its time":   {window, 4.5, Pending{Arrived: at(2), Deadline: late, Answer: time.Second}, false},
		"waits where predicted to be too late": {window, 0, Pending{Arrived: began, Deadline: late, FirstEvent: 8 * time.Second, Answer: time.Second, Waits: true}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, c.window.Refuses(at(c.now), c.request))
		})
	}
}
