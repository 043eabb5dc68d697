package document

import "acaciacleat.example/core/strictjson"

// Fault is one error in a document.
type Fault = strictjson.Fault

// Parse decodes a document strictly, sets its defaults and validates it. It returns all
// faults at once; the service is nil if there is any.
func Parse(data []byte) (*Service, []Fault) {
	service := &Service{}
	faults := strictjson.Parse(data, service, func(s *Service) []Fault {
		SetDefaults(s)
		return Validate(s)
	})
	if len(faults) > 0 {
		return nil, faults
	}
	return service, nil
}
