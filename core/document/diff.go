package document

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"acaciacleat.example/core/strictjson"
)

// Change is one difference between two documents, in a human-readable form.
type Change struct {
	// Path is the JSON path of the value. It names an element of a list by its key (see
	// elementKey) and not by its index.
	Path string `json:"path"`
	// Old and New are the values as JSON, shortened; empty if there is none.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// String returns the change on one line.
func (c Change) String() string {
	switch {
	case c.Old == "":
		return fmt.Sprintf("%s: added %s", c.Path, c.New)
	case c.New == "":
		return fmt.Sprintf("%s: removed %s", c.Path, c.Old)
	default:
		return fmt.Sprintf("%s: %s became %s", c.Path, c.Old, c.New)
	}
}

// Diff returns the differences from old to new, in the order of the fields and, within a
// list, of the elements' keys. The order of a list's elements is not a difference. If either
// document is nil, the only change is the name of the other.
func Diff(old, new *Service) []Change {
	switch {
	case old == nil && new == nil:
		return nil
	case old == nil:
		return []Change{{Path: strictjson.Root, New: strictjson.FormatValue(new.Name)}}
	case new == nil:
		return []Change{{Path: strictjson.Root, Old: strictjson.FormatValue(old.Name)}}
	}
	return diffStruct(nil, strictjson.Root, reflect.ValueOf(*old), reflect.ValueOf(*new))
}

func diffStruct(changes []Change, path string, old, new reflect.Value) []Change {
	for i := range old.NumField() {
		fieldPath := path + "." + strictjson.JSONName(old.Type().Field(i))
		changes = diffValue(changes, fieldPath, old.Field(i), new.Field(i))
	}
	return changes
}

// hashesPath ends the path of the lists whose elements are equal regardless of letter case.
const hashesPath = ".keyHashes"

func diffValue(changes []Change, path string, old, new reflect.Value) []Change {
	switch old.Kind() {
	case reflect.Struct:
		return diffStruct(changes, path, old, new)
	case reflect.Slice:
		return diffList(changes, path, old, new)
	}
	if old.Equal(new) {
		return changes
	}
	return append(changes, Change{Path: path, Old: strictjson.FormatValue(old.Interface()), New: strictjson.FormatValue(new.Interface())})
}

func diffList(changes []Change, path string, old, new reflect.Value) []Change {
	anyCase := strings.HasSuffix(path, hashesPath)
	before, after := elementsByKey(old, anyCase), elementsByKey(new, anyCase)
	names := make([]string, 0, len(before)+len(after))
	for name := range before {
		names = append(names, name)
	}
	for name := range after {
		if _, inBoth := before[name]; !inBoth {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		elementPath := fmt.Sprintf("%s[%q]", path, name)
		oldElement, inOld := before[name]
		newElement, inNew := after[name]
		switch {
		case !inOld:
			changes = append(changes, Change{Path: elementPath, New: strictjson.FormatValue(newElement.Interface())})
		case !inNew:
			changes = append(changes, Change{Path: elementPath, Old: strictjson.FormatValue(oldElement.Interface())})
		default:
			changes = diffValue(changes, elementPath, oldElement, newElement)
		}
	}
	return changes
}

func elementsByKey(list reflect.Value, anyCase bool) map[string]reflect.Value {
	m := make(map[string]reflect.Value, list.Len())
	for i := range list.Len() {
		key := elementKey(list.Index(i).Interface())
		if anyCase {
			key = strings.ToLower(key)
		}
		m[key] = list.Index(i)
	}
	return m
}

// elementKey returns the key by which the elements of two lists are matched. It is unique in a
// valid list, except for repeated call patterns, which are equal.
func elementKey(element any) string {
	switch e := element.(type) {
	case Model:
		return e.Name
	case Organisation:
		return e.Name
	case Deadline:
		return e.Class
	case CallPattern:
		return e.Method + " " + e.Path
	case string:
		return e
	}
	return fmt.Sprint(element)
}
