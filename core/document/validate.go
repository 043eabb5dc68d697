package document

import (
	"fmt"
	"regexp"
	"strings"

	"acaciacleat.example/core/call"
	"github.com/go-playground/validator/v10"
)

var (
	serviceNamePattern = regexp.MustCompile(`^[a-z0-9-]{1,63}$`)
	labelPattern       = regexp.MustCompile(`^[\p{L}\p{N}][\p{L}\p{N}._:/@+ -]{0,127}$`)
	keyHashPattern     = regexp.MustCompile(`^[0-9a-fA-F]{64}$`)
)

// rule describes one validation tag to the author of a document.
type rule struct{ allowed, remedy string }

var rules = map[string]rule{
	"servicename": {"1 to 63 characters of a-z, 0-9 and '-'", "Rename the service."},
	"label":       {"1 to 128 letters, digits, spaces and . _ : / @ + -, beginning with a letter or digit", "Correct the name."},
	"keyhash":     {"64 hexadecimal digits", "Put the SHA-256 hash of the key, never the key itself."},
	"callpath":    {"a path that begins with '/', with '**' only as its last segment and no '?', '#', '%' or '//'", "Correct the path."},
	"oneof":       {"one of: %s", "Choose one of these."},
	"gte":         {"%s or more", "Raise the value."},
	"lte":         {"%s or less", "Lower the value."},
	"min":         {"at least %s", "Add to the list."},
	"max":         {"at most %s", "Shorten the list."},
}

var fields = newFieldValidator()

func newFieldValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(jsonName)
	register(v, "servicename", serviceNamePattern.MatchString)
	register(v, "label", labelPattern.MatchString)
	register(v, "keyhash", keyHashPattern.MatchString)
	register(v, "callpath", validCallPath)
	return v
}

func register(v *validator.Validate, tag string, valid func(string) bool) {
	check := func(field validator.FieldLevel) bool { return valid(field.Field().String()) }
	if err := v.RegisterValidation(tag, check); err != nil {
		panic(err) // The tag is a constant of this file.
	}
}

func validCallPath(path string) bool {
	if !strings.HasPrefix(path, "/") || strings.ContainsAny(path, "?#%") || strings.Contains(path, "//") {
		return false
	}
	rest, _ := strings.CutSuffix(path, "/**")
	return !strings.Contains(rest, "**")
}

// Validate returns all faults of a document by itself; CheckTogether and Snapshot.Check
// compare it with other documents.
func Validate(service *Service) []Fault {
	faults := validateFields(service)
	faults = append(faults, validateKind(service)...)
	faults = append(faults, validateModels(service)...)
	faults = append(faults, validateDeadlines(service)...)
	return append(faults, validateOrganisations(service)...)
}

func validateFields(service *Service) []Fault {
	err := fields.Struct(service)
	if err == nil {
		return nil
	}
	broken, ok := err.(validator.ValidationErrors)
	if !ok {
		return []Fault{newFault(rootPath, err.Error(), "a document", "Put a document.")}
	}
	faults := make([]Fault, 0, len(broken))
	for _, field := range broken {
		rule := rules[field.Tag()]
		allowed := rule.allowed
		if strings.Contains(allowed, "%s") {
			allowed = fmt.Sprintf(allowed, strings.ReplaceAll(field.Param(), " ", ", "))
		}
		_, path, _ := strings.Cut(field.Namespace(), ".")
		faults = append(faults, newFault(rootPath+"."+path, field.Value(), allowed, rule.remedy))
	}
	return faults
}

func validateKind(service *Service) []Fault {
	var faults []Fault
	switch service.Kind {
	case KindModel:
		if len(service.Models) == 0 {
			faults = append(faults, newFault("$.models", service.Models, "at least one model", "Add a model, or make the kind plain."))
		}
		if len(service.NonRepeatable) > 0 {
			faults = append(faults, newFault("$.nonRepeatable", service.NonRepeatable, "nothing in a model service", "Remove it: patterns name calls of plain services."))
		}
	case KindPlain:
		if len(service.Models) > 0 {
			faults = append(faults, newFault("$.models", len(service.Models), "no models in a plain service", "Remove them, or make the kind model."))
		}
		if service.Objective != "" {
			faults = append(faults, newFault("$.objective", service.Objective, "nothing in a plain service", "Remove it."))
		}
	}
	return faults
}

func validateModels(service *Service) []Fault {
	var faults []Fault
	names := firsts{}
	for i := range service.Models {
		model := &service.Models[i]
		path := fmt.Sprintf("$.models[%d]", i)
		faults = names.check(faults, model.Name, path+".name", "Remove one of the two models.")
		if model.CanaryShare > 0 && model.Canary == "" {
			faults = append(faults, newFault(path+".canaryShare", model.CanaryShare, "0 without a canary", "Name the canary version or remove the share."))
		}
		if model.Canary != "" && model.Canary == model.Version {
			faults = append(faults, newFault(path+".canary", model.Canary, "a version other than "+model.Version, "Correct one of the two versions."))
		}
		adapters := firsts{}
		for j, adapter := range model.Adapters {
			faults = adapters.check(faults, adapter, fmt.Sprintf("%s.adapters[%d]", path, j), "Remove one of the two.")
		}
	}
	return faults
}

func validateDeadlines(service *Service) []Fault {
	var faults []Fault
	classes := firsts{}
	for i, deadline := range service.Deadlines {
		path := fmt.Sprintf("$.deadlines[%d]", i)
		faults = classes.check(faults, deadline.Class, path+".class", "Remove one of the two.")
		if deadline.DefaultMs > deadline.MaxMs {
			faults = append(faults, newFault(path+".defaultMs", deadline.DefaultMs, fmt.Sprintf("%d (maxMs) or less", deadline.MaxMs), "Lower defaultMs or raise maxMs."))
		}
		if service.Kind == KindPlain && deadline.Class != call.Short.String() {
			faults = append(faults, newFault(path+".class", deadline.Class, "short, in a plain service", "Remove the deadline."))
		}
	}
	return faults
}

func validateOrganisations(service *Service) []Fault {
	var faults []Fault
	names, hashes := firsts{}, firsts{}
	for i := range service.Organisations {
		organisation := &service.Organisations[i]
		path := fmt.Sprintf("$.organisations[%d]", i)
		faults = names.check(faults, organisation.Name, path+".name", "Merge the two organisations.")
		for j, hash := range organisation.KeyHashes {
			at := fmt.Sprintf("%s.keyHashes[%d]", path, j)
			faults = hashes.check(faults, strings.ToLower(hash), at, "Give each organisation keys of its own, each once.")
		}
	}
	return faults
}

// firsts remembers where each value stood first.
type firsts map[string]string

func (f firsts) check(faults []Fault, value, path, remedy string) []Fault {
	if first, repeated := f[value]; repeated {
		return append(faults, newFault(path, value, "a value not used at "+first, remedy))
	}
	f[value] = path
	return faults
}
