package clienttest

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	agentcommand "acaciacleat.example/agent/command"
	entrycommand "acaciacleat.example/entry/command"
	"github.com/stretchr/testify/require"
)

// programVariable names the program as which the test binary runs.
const programVariable = "CLIENTTEST_PROGRAM"

// The programs of the product.
const (
	entryProgram = "entry"
	agentProgram = "agent"
)

// TestMain makes the test binary act as one of the programs if the environment says so.
func TestMain(m *testing.M) {
	switch os.Getenv(programVariable) {
	case entryProgram:
		os.Exit(entrycommand.Main(os.Args[1:], os.Stdout, os.Stderr))
	case agentProgram:
		os.Exit(agentcommand.Main(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

const (
	// startLimit bounds the time until a process reports its addresses.
	startLimit = 20 * time.Second
	// sampleInterval is the interval at which a process's memory is measured.
	sampleInterval = 50 * time.Millisecond
	// keptOutput bounds the output that is kept of a process, in bytes.
	keptOutput = 64 << 10
	mib        = 1 << 20
)

// child is a process of the product whose memory is watched.
type child struct {
	cmd *exec.Cmd
	// maxBytes is the memory of the process's machine, maxSockets its bound on open descriptors.
	maxBytes, maxSockets int
	ended                chan struct{}

	mu     sync.Mutex
	output []byte
	peak   usage
	// excess says what the process used too much of, if it did.
	excess string
}

// usage is what a process uses at one moment or, as a peak, at most.
type usage struct {
	resident, unread, descriptors int
}

func (u usage) total() int { return u.resident + u.unread }

func (u usage) String() string {
	return fmt.Sprintf("%d MiB (%d MiB resident, %d MiB unread), %d descriptors", u.total()/mib, u.resident/mib, u.unread/mib, u.descriptors)
}

// startChild starts a program and waits for the log lines with the given messages, which are decoded into addresses.
func startChild(t *testing.T, m machine, program string, messages []string, addresses any, env []string, args ...string) *child {
	t.Helper()
	binary, err := os.Executable()
	require.NoError(t, err)
	c := &child{cmd: exec.Command(binary, args...), maxBytes: m.memoryMb * mib, maxSockets: m.descriptors, ended: make(chan struct{})}
	c.cmd.Env = append(os.Environ(), append(env, programVariable+"="+program)...)
	reader, writer := io.Pipe()
	c.cmd.Stdout, c.cmd.Stderr = writer, writer
	require.NoError(t, c.cmd.Start())
	started := make(chan struct{})
	go c.readOutput(reader, messages, addresses, started)
	go func() {
		_ = c.cmd.Wait() // It was killed, or requireSound shows its output.
		_ = writer.Close()
		close(c.ended)
	}()
	t.Cleanup(func() { c.stop(t) })
	select {
	case <-started:
	case <-c.ended:
		require.FailNow(t, "the process ended at its start", c.lastOutput())
	case <-time.After(startLimit):
		require.FailNow(t, "the process did not start in time", c.lastOutput())
	}
	go c.watch()
	return c
}

func (c *child) readOutput(output io.Reader, messages []string, addresses any, started chan<- struct{}) {
	lines := bufio.NewScanner(output)
	lines.Buffer(nil, mib)
	found := 0
	if len(messages) == 0 {
		close(started)
	}
	for lines.Scan() {
		var line struct {
			Message string `json:"message"`
		}
		if found < len(messages) && json.Unmarshal(lines.Bytes(), &line) == nil && slices.Contains(messages, line.Message) {
			if json.Unmarshal(lines.Bytes(), addresses) == nil {
				found++
			}
			if found == len(messages) {
				close(started)
			}
		}
		c.mu.Lock()
		c.output = append(append(c.output, lines.Bytes()...), '\n')
		c.output = c.output[max(len(c.output)-keptOutput, 0):]
		c.mu.Unlock()
	}
	_, _ = io.Copy(io.Discard, output) // A process must not block on its output.
}

func (c *child) lastOutput() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return string(c.output[max(len(c.output)-4096, 0):])
}

// watch measures the process until it ends, and kills it once it exceeds its machine.
func (c *child) watch() {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.ended:
			return
		case <-ticker.C:
		}
		now, err := c.measure()
		if err != nil {
			continue // The process is ending.
		}
		c.mu.Lock()
		if now.total() > c.peak.total() {
			c.peak.resident, c.peak.unread = now.resident, now.unread
		}
		c.peak.descriptors = max(c.peak.descriptors, now.descriptors)
		if now.total() > c.maxBytes || now.descriptors > c.maxSockets {
			c.excess = now.String()
			_ = c.cmd.Process.Kill() // Fails only if it has ended.
		}
		c.mu.Unlock()
	}
}

// measure returns what the process uses now.
func (c *child) measure() (usage, error) {
	folder := filepath.Join("/proc", strconv.Itoa(c.cmd.Process.Pid))
	statm, err := os.ReadFile(filepath.Join(folder, "statm"))
	if err != nil {
		return usage{}, err
	}
	fields := strings.Fields(string(statm))
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return usage{}, err
	}
	descriptors, err := os.ReadDir(filepath.Join(folder, "fd"))
	if err != nil {
		return usage{}, err
	}
	sockets := make(map[string]bool, len(descriptors))
	for _, descriptor := range descriptors {
		target, err := os.Readlink(filepath.Join(folder, "fd", descriptor.Name()))
		if err != nil {
			continue // It has been closed.
		}
		if inode, ok := strings.CutPrefix(target, "socket:["); ok {
			sockets[strings.TrimSuffix(inode, "]")] = true
		}
	}
	unread, err := unreadBytes(sockets)
	return usage{resident: pages * os.Getpagesize(), unread: unread, descriptors: len(descriptors)}, err
}

// unreadBytes returns how many bytes the kernel has received on connections with the given inodes that
// have not been read.
func unreadBytes(inodes map[string]bool) (int, error) {
	const (
		stateColumn, queuesColumn, inodeColumn = 3, 4, 9
		listening                              = "0A"
	)
	total := 0
	for _, file := range []string{"/proc/net/tcp", "/proc/net/tcp6"} {
		table, err := os.ReadFile(file)
		if err != nil {
			return 0, err
		}
		for line := range bytes.Lines(table) {
			fields := strings.Fields(string(line))
			if len(fields) <= inodeColumn || !inodes[fields[inodeColumn]] || fields[stateColumn] == listening {
				continue
			}
			_, received, _ := strings.Cut(fields[queuesColumn], ":")
			n, err := strconv.ParseInt(received, 16, 64)
			if err != nil {
				return 0, err
			}
			total += int(n)
		}
	}
	return total, nil
}

// used returns the peaks so far.
func (c *child) used() usage {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peak
}

// requireSound fails the test if the process has ended or has exceeded its machine.
func (c *child) requireSound(t *testing.T) {
	t.Helper()
	c.mu.Lock()
	excess := c.excess
	c.mu.Unlock()
	require.Empty(t, excess, "the process exceeded its machine of %d MiB and %d descriptors", c.maxBytes/mib, c.maxSockets)
	select {
	case <-c.ended:
		require.FailNow(t, "the process has ended by itself", c.lastOutput())
	default:
	}
}

// stop ends the process.
func (c *child) stop(t *testing.T) {
	if t.Failed() {
		t.Logf("last output of the process:\n%s", c.lastOutput())
	}
	_ = c.cmd.Process.Kill() // Fails only if it has ended.
	<-c.ended
}
