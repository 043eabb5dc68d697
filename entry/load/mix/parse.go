package mix

import (
	"fmt"
	"regexp"
	"strings"

	"acaciacleat.example/core/strictjson"
)

// Defaults for fields that a file omits.
const (
	defaultLoad     = 0.7
	defaultDuration = 30
)

var (
	labelPattern = regexp.MustCompile(`^[\p{L}\p{N}][\p{L}\p{N}._:/@+ -]{0,127}$`)
	keyPattern   = regexp.MustCompile(`^[!-~]{1,512}$`)
	pathPattern  = regexp.MustCompile(`^/[!-~]*$`)
)

var rules = strictjson.NewRules(map[string]strictjson.Rule{
	"label":     {Allowed: "1 to 128 letters, digits, spaces and . _ : / @ + -, beginning with a letter or digit", Remedy: "Correct the name.", Valid: labelPattern.MatchString},
	"bearerkey": {Allowed: "1 to 512 printable ASCII characters without spaces", Remedy: "Put the key that the organisation calls with.", Valid: keyPattern.MatchString},
	"callpath":  {Allowed: "a path that begins with '/'", Remedy: "Correct the path.", Valid: pathPattern.MatchString},
	"gt":        {Allowed: "more than %s", Remedy: "Raise the value."},
	"lt":        {Allowed: "less than %s", Remedy: "Lower the value."},
})

// Parse parses a mix strictly and returns all faults together; the mix is nil if there are any.
func Parse(data []byte) (*Mix, []strictjson.Fault) {
	m := &Mix{Load: defaultLoad, DurationSeconds: defaultDuration}
	if faults := strictjson.Parse(data, m, setDefaultsAndCheck); len(faults) > 0 {
		return nil, faults
	}
	return m, nil
}

func setDefaultsAndCheck(m *Mix) []strictjson.Fault {
	for i := range m.Classes {
		setDefault(&m.Classes[i].PromptTokens)
		setDefault(&m.Classes[i].AnswerTokens)
	}
	faults := rules.Check(m)
	if m.WarmupSeconds >= m.DurationSeconds {
		faults = append(faults, strictjson.NewFault("$.warmupSeconds", m.WarmupSeconds, "less than durationSeconds", "Shorten the warm-up."))
	}
	if m.Plain.Share > 0 && len(m.Plain.Calls) == 0 {
		faults = append(faults, strictjson.NewFault("$.plain.calls", m.Plain.Calls, "at least one call", "Add a call, or make the share 0."))
	}
	faults = append(faults, checkUnique(m)...)
	for i := range m.Classes {
		faults = append(faults, checkClass(&m.Classes[i], fmt.Sprintf("$.classes[%d]", i))...)
	}
	return faults
}

func setDefault(r *Range) {
	if r.Distribution == "" {
		r.Distribution = LogUniform
	}
}

func checkClass(c *Class, path string) []strictjson.Fault {
	faults := checkRange(c.PromptTokens, path+".promptTokens")
	faults = append(faults, checkRange(c.AnswerTokens, path+".answerTokens")...)
	if c.CommonTokens > c.PromptTokens.Min {
		faults = append(faults, strictjson.NewFault(path+".commonTokens", c.CommonTokens, fmt.Sprintf("%d (promptTokens.min) or less", c.PromptTokens.Min), "Shorten what all prompts share."))
	}
	if c.Documents.Share > 0 && c.Documents.Count == 0 {
		faults = append(faults, strictjson.NewFault(path+".documents.count", 0, "1 or more", "Say how many documents there are, or make the share 0."))
	}
	return faults
}

func checkRange(r Range, path string) []strictjson.Fault {
	var faults []strictjson.Fault
	if r.Min > r.Max {
		faults = append(faults, strictjson.NewFault(path+".min", r.Min, fmt.Sprintf("%d (max) or less", r.Max), "Lower min or raise max."))
	}
	normal := r.Distribution == LogNormal
	if normal && (r.Median < float64(r.Min) || r.Median > float64(r.Max)) {
		faults = append(faults, strictjson.NewFault(path+".median", r.Median, "a value from min to max", "Correct the median."))
	}
	if !normal && (r.Median != 0 || r.Sigma != 0) {
		faults = append(faults, strictjson.NewFault(path+".median", r.Median, "no median and sigma unless the distribution is lognormal", "Remove them or make the distribution lognormal."))
	}
	return faults
}

// checkUnique reports duplicate names and keys. With a key shared by two organisations, an entry
// would attribute all their requests to one of them, and the report would not show it.
func checkUnique(m *Mix) []strictjson.Fault {
	var faults []strictjson.Fault
	first := map[string]string{}
	check := func(kind, value, path string) {
		if at, repeated := first[kind+value]; repeated {
			faults = append(faults, strictjson.NewFault(path, value, "a value not used at "+at, "Change one of the two."))
			return
		}
		first[kind+value] = path
	}
	for i, c := range m.Classes {
		check("class ", c.Name, fmt.Sprintf("$.classes[%d].name", i))
	}
	for i, o := range m.Organisations {
		check("organisation ", o.Name, fmt.Sprintf("$.organisations[%d].name", i))
		check("key ", o.Key, fmt.Sprintf("$.organisations[%d].key", i))
	}
	return faults
}

// FaultsError returns one error that lists the faults of a file, one per line.
func FaultsError(file string, faults []strictjson.Fault) error {
	lines := make([]string, 0, len(faults))
	for _, f := range faults {
		lines = append(lines, "  "+f.String())
	}
	return &faultsError{text: fmt.Sprintf("%s has %d faults:\n%s", file, len(faults), strings.Join(lines, "\n"))}
}

type faultsError struct{ text string }

// Error implements error.
func (e *faultsError) Error() string { return e.text }
