// Package strictjson decodes the JSON texts that operators write, documents and settings,
// and reports all errors in a text at once.
//
// encoding/json alone accepts "Replicas" for "replicas", keeps the last of two fields of the
// same name and, at its strictest, stops at the first unknown field. A typing error would
// then silently leave a value at its default, so the text is first checked against its Go
// type.
package strictjson

import (
	"encoding/json"
	"reflect"
	"slices"
	"strings"
)

// Root is the path of the whole text.
const Root = "$"

// Parse decodes data into value, which holds the defaults of omitted fields, and then calls
// validate. It returns all faults at once, up to maxFaults; if there is any, value must not be used.
//
// T must be a struct whose fields are structs, slices, strings, bools, ints and float64s, each
// with its JSON name in a tag.
func Parse[T any](data []byte, value *T, validate func(*T) []Fault) []Fault {
	faults := checkShape(data, reflect.TypeFor[T]())
	if len(faults) > 0 && faults[0].Path == Root || len(faults) >= maxFaults {
		return faults
	}
	// checkShape has reported values of the wrong type; json decodes the others.
	if err := json.Unmarshal(data, value); err != nil && len(faults) == 0 {
		return []Fault{NewFault(Root, err.Error(), "a JSON object", "Correct the JSON.")}
	}
	shape := faults
	for _, fault := range validate(value) {
		if len(faults) < maxFaults && !isWithinAny(fault.Path, shape) {
			faults = append(faults, fault)
		}
	}
	return faults
}

// isWithinAny reports whether path lies at or below the path of one of the shape faults,
// which then explain the fault at path.
func isWithinAny(path string, shape []Fault) bool {
	return slices.ContainsFunc(shape, func(f Fault) bool {
		return path == f.Path || strings.HasPrefix(path, f.Path+".") || strings.HasPrefix(path, f.Path+"[")
	})
}
