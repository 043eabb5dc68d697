package soak

import (
	"net/http"
	"testing"
	"time"

	"acaciacleat.example/platform/standin"
	"github.com/stretchr/testify/require"
)

// configurationText returns a configuration as an operator might write it, with one route at host.example and one key.
func configurationText(prefix, key string, anonymous bool) []byte {
	access := `{"Version":1,"RouteTable":[{"Name":"r","Host":"Host.Example","Prefix":"` + prefix + `","Anonymous":`
	if anonymous {
		access += "true"
	} else {
		access += "false"
	}
	return []byte(access + `}],"Limits":{"MaxHeaderBytes":2000,"MaxBodyBytes":100},"Tenants":[{"Name":"none"},{"Name":"one","ApiKeys":["` + key + `"]}]}`)
}

// judgeOne judges one answer of entry 1, which was in touch for a minute, to a request for /a/x with key k.
func judgeOne(t *testing.T, versions []writtenVersion, change func(a *judgedAnswer, r *recorder)) *recorder {
	t.Helper()
	now := time.Now()
	a := judgedAnswer{
		request: accessRequest{id: "1", host: "host.example", path: "/a/x", key: "k", bodyBytes: 100, headBytes: 2000}, entry: 1, status: http.StatusUnauthorized,
		began: now.Add(-time.Millisecond), ended: now, started: now.Add(-time.Minute), undisturbed: true,
	}
	r := newRecorder()
	if change != nil {
		change(&a, r)
	}
	j := &refusalJudge{}
	for _, v := range versions {
		j.addVersion(v)
	}
	j.addAnswer(a)
	j.judge(r)
	return r
}

// versionsAt returns versions that were acknowledged the given times ago, the first before all others.
func versionsAt(texts [][]byte, ago ...time.Duration) []writtenVersion {
	now := time.Now()
	var all []writtenVersion
	for i, text := range texts {
		at := now.Add(-ago[i])
		all = append(all, writtenVersion{number: i + 1, sent: at.Add(-time.Millisecond), acknowledged: at, limit: applyLimit, text: text})
	}
	return all
}

var (
	allowing   = configurationText("/a/", "k", false)
	otherKey   = configurationText("/a/", "other", false)
	otherPath  = configurationText("/b/", "k", false)
	noKeyAsked = configurationText("/a/", "other", true)
)

// Guards against refusals of proper requests that nobody sees, and against a report of those that a version in force asks for.
func TestRefusalsAreJudgedByTheVersionsInForce(t *testing.T) {
	const old, recent = time.Minute, time.Second
	status := func(n int) func(*judgedAnswer, *recorder) { return func(a *judgedAnswer, _ *recorder) { a.status = n } }
	cases := []struct {
		name     string
		versions []writtenVersion
		change   func(a *judgedAnswer, r *recorder)
		want     Check
	}{
		{"allowed by the only one", versionsAt([][]byte{allowing}, old), nil, Rejected},
		{"allowed by all in force", versionsAt([][]byte{otherKey, allowing, noKeyAsked}, old, old/2, recent), nil, Rejected},
		{"not allowed by the newest", versionsAt([][]byte{allowing, otherKey}, old, recent), nil, ""},
		{"not allowed by the one before within the bound", versionsAt([][]byte{otherPath, allowing}, old, applyLimit-100*time.Millisecond), nil, ""},
		{"not allowed by the one before after the bound", versionsAt([][]byte{otherPath, allowing}, old, applyLimit+100*time.Millisecond), nil, Rejected},
		{"not allowed by one in the middle", versionsAt([][]byte{allowing, otherKey, allowing}, old, recent, recent/2), nil, ""},
		{"not allowed by any", versionsAt([][]byte{otherPath, otherKey}, old, recent), nil, ""},
		{"not allowed by one that is being written", append(versionsAt([][]byte{allowing}, old),
			writtenVersion{sent: time.Now().Add(-10 * time.Millisecond), acknowledged: time.Now().Add(time.Second), limit: applyLimit, text: otherKey}), nil, ""},
		{"not allowed by one that is written later", append(versionsAt([][]byte{allowing}, old),
			writtenVersion{sent: time.Now().Add(time.Second), acknowledged: time.Now().Add(time.Second), limit: applyLimit, text: otherKey}), nil, Rejected},
		{"no key where none is asked for", versionsAt([][]byte{noKeyAsked}, old), func(a *judgedAnswer, _ *recorder) { a.request.key = "" }, Rejected},
		{"no key", versionsAt([][]byte{allowing}, old), func(a *judgedAnswer, _ *recorder) { a.request.key = "" }, ""},
		{"another host", versionsAt([][]byte{allowing}, old), func(a *judgedAnswer, _ *recorder) { a.request.host = "example" }, ""},
		{"host in capitals with a port", versionsAt([][]byte{allowing}, old), func(a *judgedAnswer, _ *recorder) { a.request.host = "HOST.example:80" }, Rejected},
		{"body within its limit", versionsAt([][]byte{allowing}, old), status(http.StatusRequestEntityTooLarge), Rejected},
		{"body beyond its limit", versionsAt([][]byte{allowing}, old), func(a *judgedAnswer, _ *recorder) { a.request.bodyBytes++ }, ""},
		{"head within its limit", versionsAt([][]byte{allowing}, old), status(http.StatusRequestHeaderFieldsTooLarge), Rejected},
		{"head beyond its limit", versionsAt([][]byte{allowing}, old), func(a *judgedAnswer, _ *recorder) { a.request.headBytes++ }, ""},
		{"called malformed", versionsAt([][]byte{allowing}, old), status(http.StatusBadRequest), Rejected},
		{"redirected", versionsAt([][]byte{allowing}, old), status(http.StatusFound), Rejected},
		{"told to come back", versionsAt([][]byte{allowing}, old), status(http.StatusTooManyRequests), ""},
		{"failed", versionsAt([][]byte{allowing}, old), status(http.StatusBadGateway), ""},
		{"failed after recovery", versionsAt([][]byte{allowing}, old), func(a *judgedAnswer, _ *recorder) { a.status, a.mustSucceed = http.StatusBadGateway, true }, NotRecovered},
		{"an upstream's own", versionsAt([][]byte{allowing}, old), func(a *judgedAnswer, _ *recorder) { a.sealed = true }, ""},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) { requireViolation(t, judgeOne(t, test.versions, test.change), test.want) })
	}
}

// Guards against a judge that excuses an entry out of touch for what no version asks, or binds it by versions that it can't know.
func TestEntriesOutOfTouchAreBoundByAllVersionsOfTheRun(t *testing.T) {
	outOfTouch := map[string]func(a *judgedAnswer, r *recorder){
		"store disrupted": func(a *judgedAnswer, r *recorder) {
			r.disruptions = []*disruption{{part: partStore, entry: allEntries, from: a.began.Add(-time.Minute), to: a.began.Add(-stableWindow + time.Millisecond)}}
		},
		"process disrupted before the answer": func(a *judgedAnswer, r *recorder) {
			r.disruptions = []*disruption{{part: partProcess, entry: 1, from: a.began.Add(time.Microsecond)}}
		},
		"just started": func(a *judgedAnswer, _ *recorder) { a.started = a.began.Add(-stableWindow + time.Millisecond) },
		"stopping":     func(a *judgedAnswer, _ *recorder) { a.undisturbed = false },
	}
	everAllowed := versionsAt([][]byte{noKeyAsked, allowing}, time.Minute, time.Second)
	onceRefused := versionsAt([][]byte{otherKey, allowing, allowing}, time.Minute, time.Minute/2, time.Second)
	for name, change := range outOfTouch {
		t.Run(name, func(t *testing.T) {
			requireViolation(t, judgeOne(t, everAllowed, change), Rejected)
			requireViolation(t, judgeOne(t, onceRefused, change), "")
			for _, status := range []int{http.StatusRequestEntityTooLarge, http.StatusBadRequest, http.StatusRequestHeaderFieldsTooLarge} {
				requireViolation(t, judgeOne(t, everAllowed, func(a *judgedAnswer, r *recorder) {
					change(a, r)
					a.status = status
				}), "")
			}
		})
	}
	requireViolation(t, judgeOne(t, onceRefused, nil), Rejected)
	requireViolation(t, judgeOne(t, onceRefused, func(a *judgedAnswer, r *recorder) {
		r.disruptions = []*disruption{{part: partStore, entry: 2, from: a.began.Add(-time.Minute)}, {part: partUpstreams, entry: allEntries, from: a.began.Add(-time.Minute)}}
	}), Rejected)
}

// Guards against a stretched bound that excuses everything, or nothing.
func TestStretchedBoundsOfRefusals(t *testing.T) {
	stretched := func(a *judgedAnswer, r *recorder) {
		r.disruptions = []*disruption{{part: partStore, entry: allEntries, from: a.began.Add(-time.Second), to: a.began, stretches: true}}
	}
	within := versionsAt([][]byte{otherKey, allowing}, time.Minute, applyLimit+stretchLimit-100*time.Millisecond)
	after := versionsAt([][]byte{otherKey, allowing}, time.Minute, applyLimit+stretchLimit+100*time.Millisecond)
	requireViolation(t, judgeOne(t, within, stretched), "")
	requireViolation(t, judgeOne(t, after, stretched), Rejected)
	requireViolation(t, judgeOne(t, within, nil), Rejected)
}

// Guards against a key or a route that is served although it was taken away longer ago than the bound, or never existed.
func TestRequestsThatNoVersionInForceAllowsAreReportedIfServed(t *testing.T) {
	served := func(a *judgedAnswer, _ *recorder) { a.status, a.sealed = http.StatusOK, true }
	outOfTouch := func(a *judgedAnswer, r *recorder) { served(a, r); a.undisturbed = false }
	takenAway := versionsAt([][]byte{allowing, otherKey}, time.Minute, applyLimit+100*time.Millisecond)
	requireViolation(t, judgeOne(t, takenAway, served), Admitted)
	requireViolation(t, judgeOne(t, takenAway, outOfTouch), "")
	requireViolation(t, judgeOne(t, versionsAt([][]byte{allowing, otherPath}, time.Minute, time.Second), served), "")
	never := versionsAt([][]byte{otherPath, otherKey}, time.Minute, applyLimit/2)
	requireViolation(t, judgeOne(t, never, served), Admitted)
	requireViolation(t, judgeOne(t, never, outOfTouch), Admitted)
	requireViolation(t, judgeOne(t, versionsAt([][]byte{allowing}, time.Minute), func(a *judgedAnswer, r *recorder) {
		served(a, r)
		a.request.bodyBytes, a.request.headBytes = 1000, 5000
	}), "")
}

// Guards against a request that runs for the organisation that had its key before, or for none, and against a key that is
// passed on.
func TestRunsForAnotherOrganisationAreReported(t *testing.T) {
	moved := func(organisation string) []byte {
		return []byte(`{"RouteTable":[{"Host":"host.example","Prefix":"/a/"},{"Host":"host.example","Prefix":"/a/open/","Anonymous":true}],"Tenants":[{"Name":"` +
			organisation + `","ApiKeys":["k"]}]}`)
	}
	judge := func(path, name, key string, inTouch bool, ago time.Duration) *recorder {
		now := time.Now()
		a := judgedAnswer{
			request: accessRequest{id: "1", host: "host.example", path: path, key: "k"}, entry: 1, status: http.StatusOK, sealed: true,
			began: now.Add(-time.Millisecond), ended: now, started: now.Add(-time.Minute), undisturbed: inTouch,
		}
		run := standin.Run{ID: "1", At: now, Header: http.Header{}}
		standin.SetOrganisation(run.Header, name, key)
		j := &refusalJudge{versions: versionsAt([][]byte{moved("before"), moved("after")}, time.Minute, ago), answers: []judgedAnswer{a},
			runs: map[string][]standin.Run{"1": {run}}}
		r := newRecorder()
		j.judge(r)
		return r
	}
	const within, later = applyLimit - 100*time.Millisecond, applyLimit + 100*time.Millisecond
	requireViolation(t, judge("/a/x", "after", "", true, later), "")
	requireViolation(t, judge("/a/x", "before", "", true, within), "")
	requireViolation(t, judge("/a/x", "before", "", true, later), WrongOrganisation)
	requireViolation(t, judge("/a/x", "before", "", false, later), "")
	requireViolation(t, judge("/a/x", "other", "", false, later), WrongOrganisation)
	requireViolation(t, judge("/a/x", "", "", true, later), WrongOrganisation)
	requireViolation(t, judge("/a/open/x", "", "", true, later), "")
	requireViolation(t, judge("/a/x", "after", "k", true, later), WrongOrganisation)
}

// Guards against a judge that prefers a short prefix, or one that a path only resembles.
func TestJudgeReadsTheLongestPrefix(t *testing.T) {
	v := writtenVersion{access: standin.Access{
		Routes: []standin.AccessRoute{
			{Host: "h", Prefix: "/a/"}, {Host: "h", Prefix: "/a/b/", Anonymous: true}, {Host: "H", Prefix: "/a/b/c/"}, {Host: "other", Prefix: "/a/b/c/d/", Anonymous: true},
		},
		Organisations: []standin.Organisation{{Name: "o"}, {Name: "p", Keys: []string{"k"}}},
	}}
	for path, want := range map[string]string{
		"/a/": "no such key", "/a": "no route", "/a/x": "no such key", "/a/b": "no such key", "/a/b/": "", "/a/b/x": "", "/a/b/c/x": "no such key", "/a/b/c/d/x": "no such key",
	} {
		require.Equal(t, want, v.objection(accessRequest{host: "h", path: path}), path)
	}
	require.Empty(t, v.objection(accessRequest{host: "h:80", path: "/a/b/c/", key: "k"}))
}
