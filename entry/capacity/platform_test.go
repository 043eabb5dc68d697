package capacity

import (
	"fmt"
	"testing"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/idempotency"
	"acaciacleat.example/core/lease"
)

// leaseSimulation simulates processes that contend for one lease, with a table without faults.
type leaseSimulation struct {
	row           lease.Row
	reads, writes int
}

// runMachine performs a machine's actions until it waits, and returns when to run it again.
func (l *leaseSimulation) runMachine(m *lease.Machine, now time.Duration) time.Duration {
	reading := lease.Reading{Mono: now, Wall: now}
	for {
		switch action := m.Next(reading); action.Kind {
		case lease.Read:
			l.reads++
			m.HandleRow(reading, l.row)
		case lease.Write:
			l.write(m, reading, action.Write)
		default:
			return now + max(action.Wait, time.Millisecond)
		}
	}
}

func (l *leaseSimulation) write(m *lease.Machine, now lease.Reading, write lease.ConditionalWrite) {
	l.writes++
	if write.IfVersion != l.row.Version {
		m.HandleWrite(now, lease.Conflict, 0)
		return
	}
	l.row = lease.Row{Version: l.row.Version + 1, Token: write.Token, Record: write.Record}
	m.HandleWrite(now, lease.Applied, l.row.Version)
}

// BenchmarkCapacityLease reports the table reads and writes per second for one lease, by the number of
// processes that contend for it.
func BenchmarkCapacityLease(b *testing.B) {
	for _, processes := range []int{2, 8, 350} {
		b.Run(fmt.Sprintf("processes=%d", processes), func(b *testing.B) {
			const seconds = 300
			l := simulateLease(processes, seconds*time.Second)
			b.ReportMetric(float64(l.reads)/seconds, "table-reads/s")
			b.ReportMetric(float64(l.writes)/seconds, "table-writes/s")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func simulateLease(processes int, length time.Duration) *leaseSimulation {
	l := &leaseSimulation{}
	machines := make([]*lease.Machine, processes)
	for i := range machines {
		machines[i] = lease.New(fmt.Sprintf("entry-%04d", i), lease.DefaultSettings)
	}
	wake := make([]time.Duration, processes)
	for now := time.Duration(0); now < length; now += 10 * time.Millisecond {
		for i, m := range machines {
			if wake[i] <= now {
				wake[i] = l.runMachine(m, now)
			}
		}
	}
	return l
}

// BenchmarkCapacityKeyed reports the table operations and the row size of keyed calls without faults.
// A sweep deletes each row a day later.
func BenchmarkCapacityKeyed(b *testing.B) {
	for _, calls := range []int{100, 1_000, 10_000} {
		b.Run(fmt.Sprintf("calls=%d", calls), func(b *testing.B) {
			writes, reads, bytes := 0, 0, 0
			for i := range calls {
				w, r, n := claimCost(uint64(i))
				writes, reads, bytes = writes+w, reads+r, bytes+n
			}
			b.ReportMetric(float64(writes)/float64(calls), "writes/call")
			b.ReportMetric(float64(reads)/float64(calls), "reads/call")
			b.ReportMetric(float64(bytes)/float64(calls), "row-B")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// claimCost returns the table writes and reads of the i-th keyed call and the size of its row.
func claimCost(i uint64) (writes, reads, bytes int) {
	now := time.Unix(1_000, 0)
	c := idempotency.NewClaim(idempotency.ClaimSpec{
		ID: call.ID{byte(i), byte(i >> 8)}, Token: "0123456789abcdef0123456789abcdef", Deadline: now.Add(time.Minute),
		Request: idempotency.HashRequest("POST", "/jobs", []byte(fmt.Sprint(i))),
	})
	action := c.Start(now, idempotency.Binding{Agent: agentName, Incarnation: 1 << 63, Stamp: time.Hour})
	for {
		switch action.Kind {
		case idempotency.InsertRow, idempotency.RebindRow:
			writes++
			bytes = len(action.Row.Encode()) + len(idempotency.RowName(serviceName, organisationName, fmt.Sprint(i)))
			action = c.Written(now, action.Op, 1)
		case idempotency.ReadRow:
			reads++
			action = c.ReadDone(now, action.Op, nil, 0, false)
		default:
			return writes, reads, bytes
		}
	}
}
