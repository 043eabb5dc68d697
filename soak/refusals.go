package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"acaciacleat.example/platform/standin"
)

// writtenVersion is a version of the configuration as it was written.
type writtenVersion struct {
	number int
	// sent and acknowledged are when the store was asked to write it and when it had.
	sent, acknowledged time.Time
	// limit is the time after acknowledged from which an entry in touch must obey it.
	limit time.Duration
	text  []byte
	// access is what text says; see refusalJudge.read.
	access standin.Access
}

// accessRequest is what decides whether a version allows a request.
type accessRequest struct {
	id   string
	host string
	path string
	// key is empty for a request without one.
	key string
	// headBytes is the length of the whole head, 0 for a head that no limit concerns; bodyBytes is that of the body.
	headBytes, bodyBytes int
}

func (r accessRequest) String() string {
	return fmt.Sprintf("%s (host %s, path %s, key %q, head %d, body %d bytes)", r.id, r.host, r.path, r.key, r.headBytes, r.bodyBytes)
}

// judgedAnswer is an answer, with what the judge must know of the entry that gave it.
type judgedAnswer struct {
	request      accessRequest
	entry        int
	began, ended time.Time
	// status is 0 without an answer.
	status int
	// sealed reports whether the answer bears an upstream's seal.
	sealed bool
	// started is when the entry's process had started, undisturbed whether that process ran and wasn't told to stop until
	// the answer.
	started     time.Time
	undisturbed bool
	// mustSucceed reports whether the request began when every proper one must succeed.
	mustSucceed bool
	body        []byte
}

// refused reports whether the answer is a 3xx or 4xx of the entry's own that says that the request is wrong.
func (a *judgedAnswer) refused() bool {
	return a.status >= http.StatusMultipleChoices && a.status < http.StatusInternalServerError && !a.sealed && !promisesNotRun(a.status)
}

// unknown reports whether the answer says that the configuration doesn't know the request's route or key.
func (a *judgedAnswer) unknown() bool {
	return a.status == http.StatusUnauthorized || a.status == http.StatusForbidden || a.status == http.StatusNotFound
}

// objection returns why a version doesn't allow a request, or "" if it does. It reads the version from its first line to
// its last, and shares no code with the entries.
func (v *writtenVersion) objection(r accessRequest) string {
	route := v.route(r)
	switch {
	case route == nil:
		return "no route"
	case !route.Anonymous && len(v.access.Organisations) > 0 && !v.hasKey(r.key):
		return "no such key"
	case v.access.BodyBytes > 0 && r.bodyBytes > v.access.BodyBytes:
		return "body too long"
	case v.access.HeadBytes > 0 && r.headBytes > v.access.HeadBytes:
		return "head too long"
	default:
		return ""
	}
}

// route returns the route with the longest prefix of a request's path at its host.
func (v *writtenVersion) route(r accessRequest) *standin.AccessRoute {
	host, _, _ := strings.Cut(strings.ToLower(r.host), ":")
	var longest *standin.AccessRoute
	for i := range v.access.Routes {
		route := &v.access.Routes[i]
		if strings.ToLower(route.Host) == host && strings.HasPrefix(r.path, route.Prefix) && (longest == nil || len(route.Prefix) > len(longest.Prefix)) {
			longest = route
		}
	}
	return longest
}

func (v *writtenVersion) hasKey(key string) bool {
	if key == "" {
		return false
	}
	for _, o := range v.access.Organisations {
		for _, k := range o.Keys {
			if k == key {
				return true
			}
		}
	}
	return false
}

// JudgedAnswers counts the answers that the judge of refusals has looked at.
type JudgedAnswers struct {
	Answers         int `json:"answers"`
	Refusals        int `json:"refusals"`
	RefusalsInTouch int `json:"refusalsInTouch"`
	// Admitted is the number of answers of upstreams.
	Admitted int `json:"admitted"`
}

// refusalJudge judges each answer by the versions that may have been in force, once all of them are known. It is safe for
// concurrent use.
type refusalJudge struct {
	mu       sync.Mutex
	versions []writtenVersion
	answers  []judgedAnswer
	// runs holds the runs of the requests that were answered, by request.
	runs   map[string][]standin.Run
	judged JudgedAnswers
}

func (j *refusalJudge) addVersion(v writtenVersion) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.versions = append(j.versions, v)
}

func (j *refusalJudge) addAnswer(a judgedAnswer) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.answers = append(j.answers, a)
}

// addRuns adds all runs at upstreams.
func (j *refusalJudge) addRuns(replicas []*standin.Replica) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs = make(map[string][]standin.Run)
	for _, replica := range replicas {
		for _, run := range replica.Runs() {
			j.runs[run.ID] = append(j.runs[run.ID], run)
		}
	}
}

// read decodes what has been written.
func (j *refusalJudge) read() error {
	for i := range j.versions {
		v := &j.versions[i]
		var err error
		if v.access, err = standin.ReadAccess(v.text); err != nil {
			return err
		}
	}
	return nil
}

// inForce returns the versions that may be in force at a moment between two times: the newest one that was acknowledged
// longer than its limit before, and all written after that one. Stretch is added to each limit.
func (j *refusalJudge) inForce(from, to time.Time, stretch time.Duration) []writtenVersion {
	first, end := 0, 0
	for i, v := range j.versions {
		if from.Sub(v.acknowledged) > v.limit+stretch {
			first = i
		}
		if !v.sent.After(to) {
			end = i + 1
		}
	}
	return j.versions[first:max(first, end)]
}

// objections returns how many versions don't allow a request, with the reason of the last one.
func objections(versions []writtenVersion, r accessRequest) (n int, last string) {
	for i := range versions {
		if o := versions[i].objection(r); o != "" {
			n, last = n+1, o
		}
	}
	return n, last
}

// judge judges all answers.
func (j *refusalJudge) judge(r *recorder) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if err := j.read(); err != nil {
		r.addViolation(NotRecovered, "what was written can't be read: %v", err)
		return
	}
	for i := range j.answers {
		j.judgeAnswer(&j.answers[i], r)
	}
}

// judgeAnswer judges one answer. An entry in touch is bound by the versions that may be in force, any other by all versions of
// the run alone, and then only in what it says of routes and keys.
func (j *refusalJudge) judgeAnswer(a *judgedAnswer, r *recorder) {
	inTouch, stretch := r.touchBetween(a.entry, a.began, a.ended)
	inTouch = inTouch && a.undisturbed && a.began.Sub(a.started) >= stableWindow
	versions := j.inForce(a.began, a.ended, stretch)
	objecting, objection := objections(versions, a.request)
	j.judged.Answers++
	j.judgeRuns(a, versions, inTouch, r)
	switch {
	case a.refused():
		j.judged.Refusals++
		if inTouch {
			j.judged.RefusalsInTouch++
		}
		if inTouch && objecting == 0 {
			r.addViolationAt(a.ended, Rejected, "entry %d in touch answered %s with %d, which all versions in force (%s) allow: %.200s",
				a.entry, a.request, a.status, span(versions), a.body)
			return
		}
		if everObjecting, _ := objections(j.versions, a.request); a.unknown() && everObjecting == 0 {
			r.addViolationAt(a.ended, Rejected, "entry %d answered %s with %d, which all versions of the run allow: %.200s",
				a.entry, a.request, a.status, a.body)
		}
	case a.status == http.StatusOK && a.sealed:
		j.judged.Admitted++
		j.judgeAdmitted(a, versions, inTouch, objecting, objection, r)
	case a.mustSucceed && objecting == 0:
		r.addViolationAt(a.ended, NotRecovered, "entry %d answered %s with %d, which all versions in force (%s) allow: %.200s",
			a.entry, a.request, a.status, span(versions), a.body)
	}
}

// judgeAdmitted judges a request that an upstream has run. The limits of heads and bodies bind callers, not entries, which may
// take more.
func (j *refusalJudge) judgeAdmitted(a *judgedAnswer, versions []writtenVersion, inTouch bool, objecting int, objection string, r *recorder) {
	small := a.request
	small.headBytes, small.bodyBytes = 0, 0
	if inTouch && objecting == len(versions) {
		if n, why := objections(versions, small); n == len(versions) {
			r.addViolationAt(a.ended, Admitted, "entry %d in touch served %s, which no version in force (%s) allows: %s", a.entry, a.request, span(versions), why)
			return
		}
	}
	known := j.inForce(j.versions[0].sent, a.ended, 0)
	if n, why := objections(known, small); objection != "" && n == len(known) {
		r.addViolationAt(a.ended, Admitted, "entry %d served %s, which no version of the run has allowed: %s", a.entry, a.request, why)
	}
}

// judgeRuns judges what upstreams were told of the organisation that sent a request: what some version in force says if the
// entry is in touch, or else any version of the run that was written before.
func (j *refusalJudge) judgeRuns(a *judgedAnswer, versions []writtenVersion, inTouch bool, r *recorder) {
	if !inTouch {
		versions = j.inForce(j.versions[0].sent, a.ended, 0)
	}
	for _, run := range j.runs[a.request.id] {
		name, withKey := run.Organisation()
		if withKey {
			r.addViolationAt(run.At, WrongOrganisation, "%s reached an upstream with the key", a.request)
		}
		if !slices.ContainsFunc(versions, func(v writtenVersion) bool { return v.mayRunFor(a.request, name) }) {
			r.addViolationAt(run.At, WrongOrganisation, "%s ran at entry %d for %q, which by no version in force (%s) holds the key", a.request, a.entry, name, span(versions))
		}
	}
}

// mayRunFor reports whether a version lets a request run for the named organisation. A route that needs no key may run it for
// none.
func (v *writtenVersion) mayRunFor(r accessRequest, name string) bool {
	route := v.route(r)
	if route == nil {
		return false
	}
	if name == "" {
		return route.Anonymous
	}
	return slices.ContainsFunc(v.access.Organisations, func(o standin.Organisation) bool { return o.Name == name && slices.Contains(o.Keys, r.key) })
}

// span names the first and the last of several versions.
func span(versions []writtenVersion) string {
	if len(versions) == 0 {
		return "none"
	}
	return fmt.Sprintf("%d to %d", versions[0].number, versions[len(versions)-1].number)
}
