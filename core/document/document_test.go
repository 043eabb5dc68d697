package document

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"acaciacleat.example/core/call"
	_ "acaciacleat.example/core/seeded"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var hashA = HashKey("a").String()

const partsTemplate = `{"name":"parts","kind":"plain","nonRepeatable":[{"method":"POST","path":"/jobs"}],
	"upstreamsCheckFencing":false,"organisations":[{"name":"omuti","keyHashes":["%s"],"limits":{"concurrency":4}}]}`

func partsDocument() string { return fmt.Sprintf(partsTemplate, hashA) }

func testModelService(name, model string, organisations ...Organisation) *Service {
	models := []Model{{Name: model, Version: "1", Replicas: 3, ContextTokens: 1000, EngineTokens: 1000}}
	return &Service{Name: name, Kind: KindModel, Models: models, Organisations: organisations}
}

func testOrganisation(name string, keys ...string) Organisation {
	organisation := Organisation{Name: name}
	for _, key := range keys {
		organisation.KeyHashes = append(organisation.KeyHashes, HashKey(key).String())
	}
	return organisation
}

// Guards against a document that changes when it is stored and read again, and against fields
// without their defaults.
func TestParseFillsDefaultsAndRoundTrips(t *testing.T) {
	service, faults := Parse([]byte(partsDocument()))
	require.Empty(t, faults)
	require.Equal(t, DefaultRetryRatio, service.RetryRatio)
	require.Equal(t, 30_000, service.DeadlineFor(call.Short).DefaultMs)
	text, err := json.Marshal(service)
	require.NoError(t, err)
	again, faults := Parse(text)
	require.Empty(t, faults)
	require.Empty(t, Diff(service, again))
	require.Equal(t, 3_600_000, (&Service{}).DeadlineFor(call.Huge).MaxMs)
}

// Guards against accepting a document with a syntax error, an unknown or repeated field, or an
// invalid value, and against stopping at the first of several faults.
func TestFaults(t *testing.T) {
	replace := func(old, new string) string { return strings.Replace(partsDocument(), old, new, 1) }
	for name, c := range map[string]struct {
		text  string
		paths []string
	}{
		"syntax":           {`{"name":`, []string{"$"}},
		"not an object":    {`[]`, []string{"$"}},
		"text after":       {partsDocument() + "{}", []string{"$"}},
		"unknown field":    {replace(`"kind"`, `"Kind":"plain","kind"`), []string{"$.Kind"}},
		"field twice":      {replace(`"kind"`, `"kind":"plain","kind"`), []string{"$.kind"}},
		"wrong types":      {replace(`"parts"`, `["parts"]`), []string{"$.name"}},
		"not whole":        {replace(`4}`, `4.5}`), []string{"$.organisations[0].limits.concurrency"}},
		"name and pattern": {replace(`"parts"`, `"Parts"`), []string{"$.name"}},
		"several at once": {strings.NewReplacer(`plain`, `grpc`, `/jobs`, `jobs`, hashA, "secret").Replace(partsDocument()),
			[]string{"$.kind", "$.nonRepeatable[0].path", "$.organisations[0].keyHashes[0]"}},
		"nested unknown": {replace(`"limits":{`, `"limits":{"tokens":{"a":[1]},`), []string{"$.organisations[0].limits.tokens"}},
	} {
		t.Run(name, func(t *testing.T) {
			service, faults := Parse([]byte(c.text))
			require.Nil(t, service)
			requirePaths(t, c.paths, faults)
		})
	}
}

func requirePaths(t *testing.T, want []string, faults []Fault) {
	t.Helper()
	got := make([]string, len(faults))
	for i, fault := range faults {
		got[i] = fault.Path
		require.NotEmpty(t, fault.Allowed, fault.Path)
		require.NotEmpty(t, fault.Remedy, fault.Path)
	}
	require.ElementsMatch(t, want, got)
}

// Guards against accepting fields that are valid one by one and contradict each other.
func TestCrossFieldFaults(t *testing.T) {
	for path, invalidate := range map[string]func(*Service){
		"$.models":                        func(s *Service) { s.Models = nil },
		"$.models[1].name":                func(s *Service) { s.Models = append(s.Models, s.Models[0]) },
		"$.models[0].canary":              func(s *Service) { s.Models[0].Canary = "1" },
		"$.models[0].canaryShare":         func(s *Service) { s.Models[0].CanaryShare = 0.2 },
		"$.models[0].adapters[1]":         func(s *Service) { s.Models[0].Adapters = []string{"a", "a"} },
		"$.nonRepeatable":                 func(s *Service) { s.NonRepeatable = []CallPattern{{"GET", "/a"}} },
		"$.retryRatio":                    func(s *Service) { s.RetryRatio = 0.5 },
		"$.deadlines[0].defaultMs":        func(s *Service) { s.Deadlines = []Deadline{{"long", 9, 8}} },
		"$.organisations[1].name":         func(s *Service) { s.Organisations = append(s.Organisations, testOrganisation("x", "k2")) },
		"$.organisations[1].keyHashes[0]": func(s *Service) { s.Organisations = append(s.Organisations, testOrganisation("y", "k")) },
	} {
		service := testModelService("chat", "m", testOrganisation("x", "k"))
		require.Empty(t, Validate(service))
		invalidate(service)
		requirePaths(t, []string{path}, Validate(service))
	}
}

// Guards against accepting a model that two services serve, or a key of two organisations, and
// against refusing valid changes of the same kind.
func TestFaultsBetweenDocuments(t *testing.T) {
	a := testModelService("a", "m", testOrganisation("x", "k"))
	b := testModelService("b", "m", testOrganisation("y", "k"))
	requirePaths(t, []string{"$.models[0].name", "$.organisations[0].keyHashes[0]"}, CheckConflicts([]*Service{a, b}))
	moved := testModelService("a", "m", testOrganisation("y", "k"))
	require.Empty(t, Compile(1, []*Service{a}).CheckConflicts(moved), "a key may move to another organisation of the same document")
	shared := testModelService("b", "n", testOrganisation("x", "k"))
	require.Empty(t, CheckConflicts([]*Service{a, shared}), "one organisation may use a key at two services")
}

// A client may spell the path of a listed call differently. If the upstream accepts the
// spelling and the matcher does not, the call is retried after a lost answer and runs twice.
func TestRepeatable(t *testing.T) {
	service := &Service{NonRepeatable: []CallPattern{
		{"POST", "/jobs"}, {"GET", "/parts/*/issue"}, {"*", "/routes/**"},
	}}
	for _, nonRepeatable := range []string{"POST /jobs", "post /jobs", "POST /jobs/", "POST //jobs", "POST /JOBS", "POST /%6Aobs",
		"POST /x/../jobs", "POST /./jobs?a=b", "POST /jobs;v=1", "POST /%zz", "GET /parts/7/issue", "HEAD /parts/7/issue",
		"GET /parts/a%2Fb/issue", "DELETE /routes", "GET /routes/a/b", "GET /x%2F..%2Froutes"} {
		method, path, _ := strings.Cut(nonRepeatable, " ")
		require.False(t, service.Repeatable(method, path), nonRepeatable)
	}
	for _, repeatable := range []string{"GET /jobs", "PUT /jobs", "POST /jobs/7", "POST /", "GET /parts/issue", "GET /parts/7/8/issue", "POST /parts/7/issue"} {
		method, path, _ := strings.Cut(repeatable, " ")
		require.True(t, service.Repeatable(method, path), repeatable)
	}
}

// Guards against a diff that omits a change, an addition or a removal.
func TestDiffNamesWhatChanged(t *testing.T) {
	old := testModelService("chat", "m", testOrganisation("x", "k"), testOrganisation("y", "l"))
	new := testModelService("chat", "m", testOrganisation("y", "l2"), testOrganisation("z"))
	new.Models[0].Replicas = 5
	lines := make([]string, 0)
	for _, change := range Diff(old, new) {
		lines = append(lines, change.String()[:24])
	}
	require.Equal(t, []string{`$.models["m"].replicas: `, `$.organisations["x"]: re`, `$.organisations["y"].key`, `$.organisations["y"].key`, `$.organisations["z"]: ad`}, lines)
	require.Len(t, Diff(nil, old), 1)
}

func drawTestServices(t *rapid.T, label string) []*Service {
	var services []*Service
	owner := func(key int) string { return fmt.Sprint("o", key%5) }
	for _, name := range []string{"a", "b", "c"} {
		if !rapid.Bool().Draw(t, label+name) {
			continue
		}
		service := testModelService(name, name+rapid.StringMatching("[mn]").Draw(t, "model"))
		rows := map[string][]string{}
		for _, key := range rapid.SliceOfNDistinct(rapid.IntRange(0, 20), 0, 10, rapid.ID).Draw(t, label) {
			rows[owner(key)] = append(rows[owner(key)], fmt.Sprint(key))
		}
		for organisationName, keys := range rows {
			service.Organisations = append(service.Organisations, testOrganisation(organisationName, keys...))
		}
		header, list := Split(service)
		services = append(services, Assemble(header, list))
	}
	return services
}

// A snapshot updated incrementally must give the same results as one compiled from scratch.
// The old snapshot must not change, since requests still use it.
func TestApplyMatchesCompile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, new := drawTestServices(t, "old"), drawTestServices(t, "new")
		before := Compile(1, old)
		var updates []Update
		find := func(list []*Service, name string) *Service {
			for _, s := range list {
				if s.Name == name {
					return s
				}
			}
			return nil
		}
		for _, name := range []string{"a", "b", "c"} {
			newService := find(new, name)
			if newService == nil {
				updates = append(updates, Update{Service: name, Removed: true})
				continue
			}
			updates = append(updates, UpdateBetween(find(old, name), newService))
		}
		after, err := before.Apply(2, updates)
		require.NoError(t, err)
		requireEqualSnapshots(t, Compile(2, new), after)
		requireEqualSnapshots(t, Compile(1, old), before)
		_, err = before.Apply(3, []Update{{Service: "absent"}})
		require.ErrorIs(t, err, ErrUnknownService)
	})
}

func requireEqualSnapshots(t require.TestingT, want, got *Snapshot) {
	require.Equal(t, want.Revision, got.Revision)
	for _, name := range []string{"a", "b", "c"} {
		require.Empty(t, Diff(want.Service(name), got.Service(name)))
		for _, model := range []string{"m", "n"} {
			require.Equal(t, want.Model(name+model) == nil, got.Model(name+model) == nil)
		}
	}
	for key := range 21 {
		hash := HashKey(fmt.Sprint(key))
		wantPrincipal, gotPrincipal := want.Principal(hash), got.Principal(hash)
		require.Equal(t, wantPrincipal == nil, gotPrincipal == nil, key)
		for _, service := range []string{"a", "b", "c"} {
			if wantPrincipal != nil {
				require.Equal(t, wantPrincipal.OrganisationIn(service), gotPrincipal.OrganisationIn(service))
			}
		}
	}
}

func largeService() *Service {
	organisations := make([]Organisation, 35_000)
	for i := range organisations {
		organisations[i] = testOrganisation(fmt.Sprintf("organisation-%05d", i), fmt.Sprint(i))
	}
	return testModelService("chat", "m", organisations...)
}

// Every request looks up its key and its model, so an allocation in a lookup would add garbage
// for each request.
func TestLookupsDoNotAllocate(t *testing.T) {
	snapshot, hash := Compile(1, []*Service{testModelService("chat", "m", testOrganisation("x", "k"))}), HashKey("k")
	require.Zero(t, testing.AllocsPerRun(100, func() {
		if snapshot.Principal(hash).OrganisationIn("chat") == nil || snapshot.Model("m") == nil {
			panic("not found")
		}
	}))
}

func BenchmarkLookup(b *testing.B) {
	snapshot, hash := Compile(1, []*Service{largeService()}), HashKey("17500")
	b.ReportAllocs()
	for b.Loop() {
		if snapshot.Principal(hash).OrganisationIn("chat") == nil || snapshot.Model("m") == nil {
			b.Fatal("not found")
		}
	}
}

func BenchmarkApplyOneOf35000(b *testing.B) { benchmarkApply(b, 1) }
func BenchmarkApplyAll35000(b *testing.B)   { benchmarkApply(b, 35_000) }

func benchmarkApply(b *testing.B, n int) {
	service := largeService()
	snapshot := Compile(1, []*Service{service})
	update := Update{Service: "chat", Put: service.Organisations[:n]}
	for b.Loop() {
		if _, err := snapshot.Apply(2, []Update{update}); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkCompile35000(b *testing.B) {
	services := []*Service{largeService()}
	for b.Loop() {
		Compile(1, services)
	}
}

// Guards against a change of one of two adapters that differ only in letter case, which isn't put in force
// because the documents count as equal.
func TestDiffTellsAdaptersByLetterCase(t *testing.T) {
	with := func(adapters ...string) *Service {
		return &Service{Name: "s", Models: []Model{{Name: "m", Adapters: adapters}}}
	}
	require.Len(t, Diff(with("span", "Span"), with("span")), 1)
	require.Len(t, Diff(with("span", "Span"), with("Span")), 1)
	require.Len(t, Diff(with("span", "Span"), with("span", "SPAN")), 2)
	require.Empty(t, Diff(with("span", "Span"), with("Span", "span")))
	hashed := func(hash string) *Service {
		return &Service{Name: "s", Organisations: []Organisation{{Name: "o", KeyHashes: []string{hash}}}}
	}
	require.Empty(t, Diff(hashed("ab12"), hashed("ab12")))
	require.Len(t, Diff(hashed("ab12"), hashed("AB12")), 1, "a hash in another letter case is one element that became another")
}
