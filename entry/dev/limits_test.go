package dev

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"acaciacleat.example/core/document"
	"acaciacleat.example/core/limits"
	entryprocess "acaciacleat.example/entry/process"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	limitedKey  = "limited"
	limitedRate = 5.0
	// grantLife and burst are those of core/limits for this rate.
	grantLife = 2 * time.Second
	burst     = 2 * limitedRate
)

var limited = limits.Key{Service: PlainService, Organisation: limitedKey}

// startLimited runs entries that all know each other and an organisation of few requests.
func startLimited(t *testing.T, entries int) *Deployment {
	d := start(t, func(c *Config) { c.Engines, c.Plains, c.Entries = 0, 2, entries })
	d.awaitEntries(t)
	service := d.edited(limitedKey)
	row := &service.Organisations[len(service.Organisations)-1]
	row.Limits = document.Limits{RequestsPerSecond: limitedRate}
	revision, _, err := d.Entries[0].Config.Put(bounded(t), service, "*")
	require.NoError(t, err)
	require.Empty(t, d.Entries[0].Config.WaitApplied(bounded(t), revision))
	eventually(t, "entries do not share limits", func() bool { return sharing(d.Entries, entries) })
	return d
}

func sharing(entries []*entryprocess.Entry, members int) bool {
	for _, e := range entries {
		if e.Quota.Members() != members || e.Quota.Owner(limited) != entries[0].Quota.Owner(limited) {
			return false
		}
	}
	return true
}

// eventually polls until a condition holds.
func eventually(t testing.TB, failure string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(settle); !holds(); time.Sleep(readyPoll) {
		require.True(t, time.Now().Before(deadline), failure)
	}
}

// callLimited makes one call of the limited organisation and reports whether it was let through.
func callLimited(t testing.TB, e *entryprocess.Entry) bool {
	request, err := http.NewRequest("GET", "http://"+e.Addr()+"/v1/services/parts/parts/1", nil)
	if !assert.NoError(t, err) {
		return false
	}
	request.Header.Set("Authorization", "Bearer "+limitedKey)
	answer, err := http.DefaultClient.Do(request)
	if !assert.NoError(t, err) {
		return false
	}
	defer answer.Body.Close()
	if answer.StatusCode == http.StatusTooManyRequests {
		assert.Equal(t, "not-run", answer.Header.Get("X-Execution"))
		assert.NotEmpty(t, answer.Header.Get("Retry-After"))
		return false
	}
	return assert.Equal(t, http.StatusOK, answer.StatusCode)
}

// flood calls through all entries at once and returns how many calls were let through in
// what time.
func flood(t testing.TB, entries []*entryprocess.Entry) (admitted int64, took time.Duration) {
	var through atomic.Int64
	var all sync.WaitGroup
	began := time.Now()
	for _, e := range entries {
		all.Go(func() {
			for range 100 {
				if callLimited(t, e) {
					through.Add(1)
				}
			}
		})
	}
	all.Wait()
	return through.Load(), time.Since(began)
}

// mostOf is the bound that core/limits states for entries of which shares live on theirs.
func mostOf(took time.Duration, entries, shares int) float64 {
	share := limitedRate*took.Seconds()/float64(entries) + max(1, burst/float64(entries))
	return limitedRate*(took+grantLife).Seconds() + burst + float64(shares)*share
}

func TestLimitHoldsOverAllEntries(t *testing.T) {
	d := startLimited(t, 4)
	admitted, took := flood(t, d.Entries)
	shares := 0
	for _, e := range d.Entries {
		if e.Quota.Counters.Silent.Load() > 0 {
			shares++
		}
	}
	t.Logf("%d let through in %v; %d entries went on with shares", admitted, took, shares)
	require.GreaterOrEqual(t, admitted, int64(burst/2))
	require.LessOrEqual(t, float64(admitted), mostOf(took, 4, shares))
}

// Symptom: an organisation gets no answers, or is not limited any more.
// Sequence: the entry that owns its limits dies; requests go on at the others.
// Cause: waiting for the dead owner, or letting everything through without it.
func TestLimitsOutliveTheirOwner(t *testing.T) {
	d := startLimited(t, 3)
	owner := d.Entries[0].Quota.Owner(limited)
	var survivors []*entryprocess.Entry
	for i, e := range d.Entries {
		if entryName(i) == owner {
			e.Stop()
			continue
		}
		survivors = append(survivors, e)
	}
	admitted, took := flood(t, survivors)
	require.Positive(t, admitted)
	require.LessOrEqual(t, float64(admitted), mostOf(took, 3, 2)+burst, "two shares and a change of owner")

	eventually(t, "the survivors keep the dead owner", func() bool { return sharing(survivors, 2) })
	answered := func() (sum int64) {
		for _, e := range survivors {
			callLimited(t, e)
			sum += e.Quota.Counters.AnswersReceived.Load()
		}
		return sum
	}
	before := answered()
	eventually(t, "the new owner answers nobody", func() bool { return answered() > before })
}
