// Package strictjson reads the JSON texts that operators write, documents and settings,
// and tells all that is wrong with one at once.
//
// encoding/json alone would take "Replicas" for "replicas", keep the last of two equal
// fields and stop at the first unknown one. An operator's typing error would then leave
// a value silently at its default, so the text is checked against its Go type first.
package strictjson

import (
	"encoding/json"
	"reflect"
	"slices"
	"strings"
)

// Root is the path of the whole text.
const Root = "$"

// Parse reads data into value, which holds the defaults of what the text leaves out, and
// then calls finish to validate it. It returns all faults at once; with any, value is
// not to be used.
//
// The type of value has fields of struct, slice, string, bool, int and float64 types,
// each with its JSON name in a tag.
func Parse[T any](data []byte, value *T, finish func(*T) []Fault) []Fault {
	faults := checkShape(data, reflect.TypeFor[T]())
	if len(faults) > 0 && faults[0].Path == Root {
		return faults
	}
	// A value of the wrong type was reported by checkShape; json decodes the others.
	if err := json.Unmarshal(data, value); err != nil && len(faults) == 0 {
		return []Fault{NewFault(Root, err.Error(), "a JSON object", "Correct the JSON.")}
	}
	for _, fault := range finish(value) {
		if !underAny(fault.Path, faults) {
			faults = append(faults, fault)
		}
	}
	return faults
}

// underAny reports whether a value of the wrong shape explains the fault at path.
func underAny(path string, shape []Fault) bool {
	return slices.ContainsFunc(shape, func(f Fault) bool {
		return path == f.Path || strings.HasPrefix(path, f.Path+".") || strings.HasPrefix(path, f.Path+"[")
	})
}
