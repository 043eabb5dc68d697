package strictjson

import (
	"encoding/json"
	"fmt"
)

// Fault is one error in a JSON text, with the information its author needs to correct it.
type Fault struct {
	// Path is the JSON path of the value; Root for the whole text.
	Path string `json:"path"`
	// Value is the value found, as JSON, cut after maxFaultValue bytes.
	Value string `json:"value"`
	// Allowed describes the allowed values.
	Allowed string `json:"allowed"`
	// Remedy says what to change.
	Remedy string `json:"remedy"`
}

// maxFaultValue is the number of bytes of a value that are kept before the ellipsis, so that a
// fault fits on one line.
const maxFaultValue = 80

// String returns the fault on one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s: %s: allowed: %s. %s", f.Path, f.Value, f.Allowed, f.Remedy)
}

// NewFault returns a fault at path; value is formatted as JSON.
func NewFault(path string, value any, allowed, remedy string) Fault {
	return Fault{Path: path, Value: FormatValue(value), Allowed: allowed, Remedy: remedy}
}

// FormatValue formats a value as JSON. It cuts a longer one after maxFaultValue bytes and
// appends an ellipsis.
func FormatValue(value any) string {
	data, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	if len(data) > maxFaultValue {
		return string(data[:maxFaultValue]) + "…"
	}
	return string(data)
}
