// Package standins2 is the driver of the scripts in review/4 to review/8. It holds small stand-ins of the platform's
// store, of replicas, of clients and of the network, written from the users' pages, and starts the project's own
// gateway as separate processes. It is built as a test binary by review/build-2.sh and takes its orders from the
// environment: CASE, TROUBLE, ENTRY (the gateway's program) and RECORD (the file that is written).
package standins2

import (
	"fmt"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"
)

// The statuses with which a script ends.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// cases holds the cases by their numbers.
var cases = map[string]func(c *run){}

// run is one run of a case.
type run struct {
	trouble bool
	entry   string
	dir     string
	start   time.Time

	mu       sync.Mutex
	record   *os.File
	broken   []string
	children []*gateway
}

// notRun is panicked with if the case could not run.
type notRun struct{ why string }

func TestMain(_ *testing.M) { os.Exit(runCase()) }

func runCase() (status int) {
	play := cases[os.Getenv("CASE")]
	if play == nil {
		fmt.Println("no such case:", strconv.Quote(os.Getenv("CASE")))
		return statusNotRun
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Println(err)
		return statusNotRun
	}
	defer os.RemoveAll(dir)
	record, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		fmt.Println(err)
		return statusNotRun
	}
	defer record.Close()
	c := &run{trouble: os.Getenv("TROUBLE") != "0", entry: os.Getenv("ENTRY"), dir: dir, start: time.Now(), record: record}
	defer func() {
		c.endAll()
		if r := recover(); r != nil {
			why, ok := r.(notRun)
			if !ok {
				panic(r)
			}
			c.logf("the case could not run: %s", why.why)
			fmt.Println("could not run:", why.why)
			status = statusNotRun
		}
	}()
	c.logf("trouble: %v", c.trouble)
	play(c)
	for _, b := range c.broken {
		c.logf("BROKEN: %s", b)
		fmt.Println("BROKEN:", b)
	}
	if len(c.broken) > 0 {
		return statusBroken
	}
	c.logf("the rule held")
	fmt.Println("the rule held")
	return statusHeld
}

// logf writes a line to the record, with the seconds since the start.
func (c *run) logf(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%9.3f  %s\n", time.Since(c.start).Seconds(), fmt.Sprintf(format, args...))
}

// breaks records that the rule was broken.
func (c *run) breaks(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = append(c.broken, fmt.Sprintf(format, args...))
}

func (c *run) fail(format string, args ...any) { panic(notRun{fmt.Sprintf(format, args...)}) }

// since returns the seconds from the start to t.
func (c *run) since(t time.Time) float64 { return t.Sub(c.start).Seconds() }
