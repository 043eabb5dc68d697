package strictjson

import (
	"fmt"
	"maps"
	"strings"

	"github.com/go-playground/validator/v10"
)

// Rule describes one rule of the struct tag "validate" in terms that the author of a JSON text
// understands.
type Rule struct {
	// Allowed describes the allowed values; "%s" in it is replaced by the tag's parameter.
	Allowed string
	// Remedy says what to change.
	Remedy string
	// Valid reports whether the field's text is valid; nil for a tag built into package
	// validator.
	Valid func(string) bool
}

// commonRules are the rules for the tags built into package validator.
var commonRules = map[string]Rule{
	"oneof": {Allowed: "one of: %s", Remedy: "Choose one of these."},
	"gte":   {Allowed: "%s or more", Remedy: "Raise the value."},
	"lte":   {Allowed: "%s or less", Remedy: "Lower the value."},
	"min":   {Allowed: "at least %s", Remedy: "Add to the list."},
	"max":   {Allowed: "at most %s", Remedy: "Shorten the list."},
}

// Rules validates the fields of a value one by one, independent of each other. It is safe for concurrent use.
type Rules struct {
	validate *validator.Validate
	byTag    map[string]Rule
}

// NewRules returns the common rules together with the given ones.
func NewRules(extra map[string]Rule) *Rules {
	r := &Rules{validate: validator.New(validator.WithRequiredStructEnabled()), byTag: maps.Clone(commonRules)}
	r.validate.RegisterTagNameFunc(JSONName)
	for tag, rule := range extra {
		r.byTag[tag] = rule
		if rule.Valid != nil {
			r.register(tag, rule.Valid)
		}
	}
	return r
}

func (r *Rules) register(tag string, valid func(string) bool) {
	check := func(field validator.FieldLevel) bool { return valid(field.Field().String()) }
	if err := r.validate.RegisterValidation(tag, check); err != nil {
		panic(err) // The tag is a constant in the calling code.
	}
}

// Check returns the faults of the fields of value, a struct or a pointer to one.
func (r *Rules) Check(value any) []Fault {
	err := r.validate.Struct(value)
	if err == nil {
		return nil
	}
	violations, ok := err.(validator.ValidationErrors)
	if !ok {
		return []Fault{NewFault(Root, err.Error(), "an object", "Write a JSON object.")}
	}
	faults := make([]Fault, 0, len(violations))
	for _, violation := range violations {
		rule := r.byTag[violation.Tag()]
		allowed := rule.Allowed
		if strings.Contains(allowed, "%s") {
			allowed = fmt.Sprintf(allowed, strings.ReplaceAll(violation.Param(), " ", ", "))
		}
		_, path, _ := strings.Cut(violation.Namespace(), ".")
		faults = append(faults, NewFault(Root+"."+path, violation.Value(), allowed, rule.Remedy))
	}
	return faults
}
