package strictjson

import (
	"encoding/json"
	"fmt"
)

// Fault is one thing wrong with a text, told so that its author can mend it.
type Fault struct {
	// Path is the JSON path of the value, "$" for the whole text.
	Path string `json:"path"`
	// Value is the value found, as JSON, shortened to maxFaultValue bytes.
	Value string `json:"value"`
	// Allowed says which values may stand there.
	Allowed string `json:"allowed"`
	// Remedy says what to change.
	Remedy string `json:"remedy"`
}

// maxFaultValue keeps one fault to a line of a terminal.
const maxFaultValue = 80

// String returns the fault on one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s: %s: allowed: %s. %s", f.Path, f.Value, f.Allowed, f.Remedy)
}

// NewFault returns a fault at path; value is any value that JSON can spell.
func NewFault(path string, value any, allowed, remedy string) Fault {
	return Fault{Path: path, Value: Spell(value), Allowed: allowed, Remedy: remedy}
}

// Spell returns a value as JSON, shortened to fit a line.
func Spell(value any) string {
	data, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	if len(data) > maxFaultValue {
		return string(data[:maxFaultValue]) + "…"
	}
	return string(data)
}
