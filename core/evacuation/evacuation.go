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
