package document

import (
	"encoding/json"
	"fmt"
)

// Fault is one thing wrong with a document, told so that its author can mend it.
type Fault struct {
	// Path is the JSON path of the value, "$" for the document itself.
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

func newFault(path string, value any, allowed, remedy string) Fault {
	return Fault{Path: path, Value: spell(value), Allowed: allowed, Remedy: remedy}
}

// spell returns a value as JSON, shortened.
func spell(value any) string {
	data, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	if len(data) > maxFaultValue {
		return string(data[:maxFaultValue]) + "…"
	}
	return string(data)
}
