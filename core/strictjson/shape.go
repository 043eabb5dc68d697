package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"reflect"
	"strconv"
	"strings"
)

// shapeChecker compares a JSON text with the Go type that it should decode to. It reads
// tokens and builds no tree: a document of 35,000 organisations is 10 MB of text.
type shapeChecker struct {
	decoder *json.Decoder
	faults  []Fault
	// elements is the memory that the elements of lists take once decoded, maxElements its bound.
	elements, maxElements int
}

const (
	// maxFaults bounds the faults that are reported of one text.
	maxFaults = 100
	// elementsFactor bounds the memory of lists' elements as a multiple of the text's length, for texts of which
	// that exceeds minElements. Without it, a list of empty objects would take many times the memory of its text.
	elementsFactor = 2
	minElements    = 1 << 20
)

// Errors that end the check of a text.
var (
	errManyFaults   = errors.New("too many faults")
	errManyElements = errors.New("too many elements for the length of the text")
)

// checkShape returns the faults in the structure of a JSON text that should decode to t.
func checkShape(data []byte, t reflect.Type) []Fault {
	c := &shapeChecker{decoder: json.NewDecoder(bytes.NewReader(data)), maxElements: max(elementsFactor*len(data), minElements)}
	c.decoder.UseNumber()
	err := c.value(t, Root)
	if err == nil {
		if _, err = c.decoder.Token(); err == io.EOF {
			return c.faults
		}
		return []Fault{NewFault(Root, "text after the object", "one JSON object", "Remove the text after the closing brace.")}
	}
	if errors.Is(err, errManyFaults) {
		return c.faults
	}
	line := 1 + bytes.Count(data[:min(c.decoder.InputOffset(), int64(len(data)))], []byte{'\n'})
	return []Fault{NewFault(Root, err.Error(), "a JSON object", "Correct the JSON near line "+strconv.Itoa(line)+".")}
}

// value checks the next value against t; null is valid for a list only. It returns an error if
// the text is not valid JSON.
func (c *shapeChecker) value(t reflect.Type, path string) error {
	token, err := c.decoder.Token()
	if err != nil {
		return err
	}
	switch {
	case token == json.Delim('{') && t.Kind() == reflect.Struct:
		return c.object(t, path)
	case token == json.Delim('[') && t.Kind() == reflect.Slice:
		return c.array(t.Elem(), path)
	case token == nil && t.Kind() == reflect.Slice:
		return nil
	case matchesKind(token, t.Kind()):
		return nil
	}
	if err := c.report(NewFault(path, describeToken(token), kindName(t.Kind()), "Write the value as "+kindName(t.Kind())+".")); err != nil {
		return err
	}
	return c.skip(token)
}

func (c *shapeChecker) object(t reflect.Type, path string) error {
	seen := make(map[string]bool, t.NumField())
	for c.decoder.More() {
		token, err := c.decoder.Token()
		if err != nil {
			return err
		}
		name := token.(string)
		fieldPath := path + "." + name
		if seen[name] {
			if err := c.report(NewFault(fieldPath, name, "each field once", "Remove one of the two.")); err != nil {
				return err
			}
		}
		seen[name] = true
		field, known := fieldByJSON(t, name)
		if !known {
			if err := c.report(NewFault(fieldPath, name, strings.Join(jsonNames(t), ", "), "Remove the field or correct its name.")); err != nil {
				return err
			}
			if err := c.skipValue(); err != nil {
				return err
			}
			continue
		}
		if err := c.value(field.Type, fieldPath); err != nil {
			return err
		}
	}
	_, err := c.decoder.Token()
	return err
}

func (c *shapeChecker) array(element reflect.Type, path string) error {
	for i := 0; c.decoder.More(); i++ {
		if c.elements += int(element.Size()); c.elements > c.maxElements {
			return errManyElements
		}
		if err := c.value(element, path+"["+strconv.Itoa(i)+"]"); err != nil {
			return err
		}
	}
	_, err := c.decoder.Token()
	return err
}

// report records a fault. It returns errManyFaults if there are too many.
func (c *shapeChecker) report(f Fault) error {
	c.faults = append(c.faults, f)
	if len(c.faults) >= maxFaults {
		return errManyFaults
	}
	return nil
}

func (c *shapeChecker) skipValue() error {
	token, err := c.decoder.Token()
	if err != nil {
		return err
	}
	return c.skip(token)
}

// skip reads the rest of the value that begins with token.
func (c *shapeChecker) skip(token json.Token) error {
	depth := depthChange(token)
	for depth > 0 {
		next, err := c.decoder.Token()
		if err != nil {
			return err
		}
		depth += depthChange(next)
	}
	return nil
}

func depthChange(token json.Token) int {
	switch token {
	case json.Delim('{'), json.Delim('['):
		return 1
	case json.Delim('}'), json.Delim(']'):
		return -1
	}
	return 0
}

func matchesKind(token json.Token, kind reflect.Kind) bool {
	switch value := token.(type) {
	case string:
		return kind == reflect.String
	case bool:
		return kind == reflect.Bool
	case json.Number:
		return numberMatchesKind(value, kind)
	}
	return false
}

func numberMatchesKind(number json.Number, kind reflect.Kind) bool {
	switch kind {
	case reflect.Int:
		_, err := strconv.Atoi(number.String())
		return err == nil
	case reflect.Float64:
		_, err := number.Float64()
		return err == nil
	}
	return false
}

func describeToken(token json.Token) any {
	switch token {
	case json.Delim('{'):
		return "{…}"
	case json.Delim('['):
		return "[…]"
	}
	return token
}

func kindName(kind reflect.Kind) string {
	switch kind {
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "a list"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Int:
		return "a whole number"
	default:
		return "a number"
	}
}

// JSONName returns the name of a field in JSON texts.
func JSONName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}

func jsonNames(t reflect.Type) []string {
	names := make([]string, t.NumField())
	for i := range names {
		names[i] = JSONName(t.Field(i))
	}
	return names
}

func fieldByJSON(t reflect.Type, name string) (reflect.StructField, bool) {
	for i := range t.NumField() {
		if JSONName(t.Field(i)) == name {
			return t.Field(i), true
		}
	}
	return reflect.StructField{}, false
}
