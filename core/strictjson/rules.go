package strictjson

import (
	"fmt"
	"maps"
	"strings"

	"github.com/go-playground/validator/v10"
)

// Rule describes one tag of "validate" to the author of a text.
type Rule struct {
	// Allowed says which values may stand there; "%s" in it becomes the tag's parameter.
	Allowed string
	// Remedy says what to change.
	Remedy string
	// Valid tests the field's text; nil for a tag that package validator has itself.
	Valid func(string) bool
}

// commonRules are the tags of package validator that all texts use.
var commonRules = map[string]Rule{
	"oneof": {Allowed: "one of: %s", Remedy: "Choose one of these."},
	"gte":   {Allowed: "%s or more", Remedy: "Raise the value."},
	"lte":   {Allowed: "%s or less", Remedy: "Lower the value."},
	"min":   {Allowed: "at least %s", Remedy: "Add to the list."},
	"max":   {Allowed: "at most %s", Remedy: "Shorten the list."},
}

// Rules checks the fields of a value one by one. It is safe for concurrent use.
type Rules struct {
	validate *validator.Validate
	byTag    map[string]Rule
}

// NewRules returns the common rules and the given ones.
func NewRules(own map[string]Rule) *Rules {
	r := &Rules{validate: validator.New(validator.WithRequiredStructEnabled()), byTag: maps.Clone(commonRules)}
	r.validate.RegisterTagNameFunc(JSONName)
	for tag, rule := range own {
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
		panic(err) // The tag is a constant of the caller's.
	}
}

// Check returns the faults of the value's fields, a struct or a pointer to one.
func (r *Rules) Check(value any) []Fault {
	err := r.validate.Struct(value)
	if err == nil {
		return nil
	}
	broken, ok := err.(validator.ValidationErrors)
	if !ok {
		return []Fault{NewFault(Root, err.Error(), "an object", "Write a JSON object.")}
	}
	faults := make([]Fault, 0, len(broken))
	for _, field := range broken {
		rule := r.byTag[field.Tag()]
		allowed := rule.Allowed
		if strings.Contains(allowed, "%s") {
			allowed = fmt.Sprintf(allowed, strings.ReplaceAll(field.Param(), " ", ", "))
		}
		_, path, _ := strings.Cut(field.Namespace(), ".")
		faults = append(faults, NewFault(Root+"."+path, field.Value(), allowed, rule.Remedy))
	}
	return faults
}
