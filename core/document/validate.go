package document

import (
	"fmt"
	"regexp"
	"strings"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/strictjson"
)

var (
	serviceNamePattern = regexp.MustCompile(`^[a-z0-9-]{1,63}$`)
	labelPattern       = regexp.MustCompile(`^[\p{L}\p{N}][\p{L}\p{N}._:/@+ -]{0,127}$`)
	keyHashPattern     = regexp.MustCompile(`^[0-9a-fA-F]{64}$`)
)

// ServiceNameRule is the rule for the name of a service, in documents and in settings.
var ServiceNameRule = strictjson.Rule{
	Allowed: "1 to 63 characters of a-z, 0-9 and '-'",
	Remedy:  "Correct the service's name.",
	Valid:   serviceNamePattern.MatchString,
}

var fieldRules = strictjson.NewRules(map[string]strictjson.Rule{
	"servicename": ServiceNameRule,
	"label": {
		Allowed: "1 to 128 letters, digits, spaces and . _ : / @ + -, beginning with a letter or digit",
		Remedy:  "Correct the name.",
		Valid:   labelPattern.MatchString,
	},
	"keyhash": {
		Allowed: "64 hexadecimal digits",
		Remedy:  "Put the SHA-256 hash of the key, never the key itself.",
		Valid:   keyHashPattern.MatchString,
	},
	"callpath": {
		Allowed: "a path that begins with '/', with '**' only as its last segment and no '?', '#', '%' or '//'",
		Remedy:  "Correct the path.",
		Valid:   validCallPath,
	},
})

func validCallPath(path string) bool {
	if !strings.HasPrefix(path, "/") || strings.ContainsAny(path, "?#%") || strings.Contains(path, "//") {
		return false
	}
	prefix, _ := strings.CutSuffix(path, "/**")
	return !strings.Contains(prefix, "**")
}

// Validate returns all faults of a single document. CheckConflicts and
// Snapshot.CheckConflicts find conflicts with other documents.
func Validate(service *Service) []Fault {
	faults := fieldRules.Check(service)
	faults = append(faults, validateKind(service)...)
	faults = append(faults, validateModels(service)...)
	faults = append(faults, validateDeadlines(service)...)
	return append(faults, validateOrganisations(service)...)
}

func validateKind(service *Service) []Fault {
	var faults []Fault
	switch service.Kind {
	case KindModel:
		if len(service.Models) == 0 {
			faults = append(faults, strictjson.NewFault("$.models", service.Models, "at least one model", "Add a model, or make the kind plain."))
		}
		if len(service.NonRepeatable) > 0 {
			faults = append(faults, strictjson.NewFault("$.nonRepeatable", service.NonRepeatable, "nothing in a model service", "Remove it: patterns name calls of plain services."))
		}
	case KindPlain:
		if len(service.Models) > 0 {
			faults = append(faults, strictjson.NewFault("$.models", len(service.Models), "no models in a plain service", "Remove them, or make the kind model."))
		}
		if service.Objective != "" {
			faults = append(faults, strictjson.NewFault("$.objective", service.Objective, "nothing in a plain service", "Remove it."))
		}
	}
	return faults
}

func validateModels(service *Service) []Fault {
	var faults []Fault
	names := firstPaths{}
	for i := range service.Models {
		model := &service.Models[i]
		path := fmt.Sprintf("$.models[%d]", i)
		faults = names.checkUnique(faults, model.Name, path+".name", "Remove one of the two models.")
		if model.CanaryShare > 0 && model.Canary == "" {
			faults = append(faults, strictjson.NewFault(path+".canaryShare", model.CanaryShare, "0 without a canary", "Name the canary version or remove the share."))
		}
		if model.Canary != "" && model.Canary == model.Version {
			faults = append(faults, strictjson.NewFault(path+".canary", model.Canary, "a version other than "+model.Version, "Correct one of the two versions."))
		}
		adapters := firstPaths{}
		for j, adapter := range model.Adapters {
			faults = adapters.checkUnique(faults, adapter, fmt.Sprintf("%s.adapters[%d]", path, j), "Remove one of the two.")
		}
	}
	return faults
}

func validateDeadlines(service *Service) []Fault {
	var faults []Fault
	classes := firstPaths{}
	for i, deadline := range service.Deadlines {
		path := fmt.Sprintf("$.deadlines[%d]", i)
		faults = classes.checkUnique(faults, deadline.Class, path+".class", "Remove one of the two.")
		if deadline.DefaultMs > deadline.MaxMs {
			faults = append(faults, strictjson.NewFault(path+".defaultMs", deadline.DefaultMs, fmt.Sprintf("%d (maxMs) or less", deadline.MaxMs), "Lower defaultMs or raise maxMs."))
		}
		if service.Kind == KindPlain && deadline.Class != call.Short.String() {
			faults = append(faults, strictjson.NewFault(path+".class", deadline.Class, "short, in a plain service", "Remove the deadline."))
		}
	}
	return faults
}

func validateOrganisations(service *Service) []Fault {
	var faults []Fault
	names, hashes := firstPaths{}, firstPaths{}
	for i := range service.Organisations {
		organisation := &service.Organisations[i]
		path := fmt.Sprintf("$.organisations[%d]", i)
		faults = names.checkUnique(faults, organisation.Name, path+".name", "Merge the two organisations.")
		for j, hash := range organisation.KeyHashes {
			hashPath := fmt.Sprintf("%s.keyHashes[%d]", path, j)
			faults = hashes.checkUnique(faults, strings.ToLower(hash), hashPath, "Give each organisation keys of its own, each once.")
		}
	}
	return faults
}

// firstPaths maps each value to the path at which it occurs first.
type firstPaths map[string]string

// checkUnique adds a fault if the value occurred before, and records its path otherwise.
func (f firstPaths) checkUnique(faults []Fault, value, path, remedy string) []Fault {
	if first, repeated := f[value]; repeated {
		return append(faults, strictjson.NewFault(path, value, "a value not used at "+first, remedy))
	}
	f[value] = path
	return faults
}
