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
	// grantTTL and burst mirror the values of core/limits for this rate.
	grantTTL = 2 * time.Second
	burst    = 2 * limitedRate
)

var limitedQuota = limits.Key{Service: PlainService, Organisation: limitedKey}

// startLimited starts entries, waits until they know each other, and adds an organisation with a low
// request rate limit. It then waits until the entries agree on the owner of the limits.
func startLimited(t *testing.T, entries int) *Deployment {
	d := startDeployment(t, func(c *Config) { c.Engines, c.Plains, c.Entries = 0, 2, entries })
	d.waitForEntries(t)
	service := d.documentWithOrganisation(limitedKey)
	added := &service.Organisations[len(service.Organisations)-1]
	added.Limits = document.Limits{RequestsPerSecond: limitedRate}
	revision, _, err := d.Entries[0].Config.Put(boundedContext(t), service, "*")
	require.NoError(t, err)
	require.Empty(t, d.Entries[0].Config.WaitApplied(boundedContext(t), revision))
	eventually(t, "the entries do not agree on the owner of the limits", func() bool { return agreeOnOwner(d.Entries, entries) })
	return d
}

func agreeOnOwner(entries []*entryprocess.Entry, members int) bool {
	for _, e := range entries {
		if e.Quota.Members() != members || e.Quota.Owner(limitedQuota) != entries[0].Quota.Owner(limitedQuota) {
			return false
		}
	}
	return true
}

// eventually polls until a condition holds.
func eventually(t testing.TB, failure string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !holds(); time.Sleep(readyPollInterval) {
		require.True(t, time.Now().Before(deadline), failure)
	}
}

// callLimited sends one call of the limited organisation and reports whether it was admitted.
func callLimited(t testing.TB, e *entryprocess.Entry) bool {
	request, err := http.NewRequest("GET", "http://"+e.Addr()+"/v1/services/parts/parts/1", nil)
	if !assert.NoError(t, err) {
		return false
	}
	request.Header.Set("Authorization", "Bearer "+limitedKey)
	response, err := http.DefaultClient.Do(request)
	if !assert.NoError(t, err) {
		return false
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusTooManyRequests {
		assert.Equal(t, "not-run", response.Header.Get("X-Execution"))
		assert.NotEmpty(t, response.Header.Get("Retry-After"))
		return false
	}
	return assert.Equal(t, http.StatusOK, response.StatusCode)
}

// flood sends calls through all entries concurrently and returns how many were admitted and the
// elapsed time.
func flood(t testing.TB, entries []*entryprocess.Entry) (admitted int64, elapsed time.Duration) {
	var admittedCalls atomic.Int64
	var all sync.WaitGroup
	start := time.Now()
	for _, e := range entries {
		all.Go(func() {
			for range 100 {
				if callLimited(t, e) {
					admittedCalls.Add(1)
				}
			}
		})
	}
	all.Wait()
	return admittedCalls.Load(), time.Since(start)
}

// maxAdmitted is the bound on admitted requests that core/limits documents, where fallbacks is the
// number of entries that fall back to their local shares of the limits.
func maxAdmitted(elapsed time.Duration, entries, fallbacks int) float64 {
	share := limitedRate*elapsed.Seconds()/float64(entries) + max(1, burst/float64(entries))
	return limitedRate*(elapsed+grantTTL).Seconds() + burst + float64(fallbacks)*share
}

// All entries get more calls than the limit allows. If each entry enforced the limit on its own, the
// organisation could exceed it by the number of entries.
func TestLimitHoldsAcrossAllEntries(t *testing.T) {
	d := startLimited(t, 4)
	admitted, elapsed := flood(t, d.Entries)
	// An entry that gets no answer from the owner in time falls back to its local share.
	fallbacks := 0
	for _, e := range d.Entries {
		if e.Quota.Counters.Silent.Load() > 0 {
			fallbacks++
		}
	}
	t.Logf("%d calls admitted in %v; %d entries used their local shares", admitted, elapsed, fallbacks)
	// The burst alone admits more than this, unless the owner grants hardly any requests.
	require.GreaterOrEqual(t, admitted, int64(burst/2))
	require.LessOrEqual(t, float64(admitted), maxAdmitted(elapsed, 4, fallbacks))
}

// The entry that owns an organisation's limits stops while requests continue at the others. The other
// entries must neither wait for the failed owner nor admit all requests, and must get answers from
// the new owner.
func TestLimitsSurviveOwnerFailure(t *testing.T) {
	d := startLimited(t, 3)
	owner := d.Entries[0].Quota.Owner(limitedQuota)
	var survivors []*entryprocess.Entry
	for i, e := range d.Entries {
		if entryName(i) == owner {
			e.Stop()
			continue
		}
		survivors = append(survivors, e)
	}
	admitted, elapsed := flood(t, survivors)
	require.Positive(t, admitted)
	// Both survivors may fall back to their local shares, and the new owner starts with a full burst.
	require.LessOrEqual(t, float64(admitted), maxAdmitted(elapsed, 3, 2)+burst, "two shares and a change of owner")

	eventually(t, "the survivors do not agree on a new owner", func() bool { return agreeOnOwner(survivors, 2) })
	// AnswersReceived also counts answers that grant nothing.
	answersAfterCalls := func() (sum int64) {
		for _, e := range survivors {
			callLimited(t, e)
			sum += e.Quota.Counters.AnswersReceived.Load()
		}
		return sum
	}
	before := answersAfterCalls()
	eventually(t, "the new owner does not answer", func() bool { return answersAfterCalls() > before })
}
