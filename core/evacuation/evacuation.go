// Package evacuation tracks the availability zones whose upstreams get no requests because the
// operator has asked for that. It does no I/O.
package evacuation

// Change is the operator's request to evacuate a zone, or to end its evacuation.
type Change struct {
	Zone string
	// Version rises with each change that the platform's store records.
	Version uint64
	// Evacuated is false if the evacuation has ended.
	Evacuated bool
}

// Report is what one entry tells another.
type Report struct {
	// Changes are changes that are new to the sender. If Position isn't zero, they are all that the
	// sender knows, and it knows all changes up to that version of the store.
	Changes  []Change
	Position uint64
	// Query asks the receiver for all that it knows.
	Query bool
}

// IsZero reports whether a report says and asks nothing.
func (r *Report) IsZero() bool { return len(r.Changes) == 0 && r.Position == 0 && !r.Query }
