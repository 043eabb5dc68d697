package document

import "acaciacleat.example/core/call"

// DefaultRetryRatio is used where a document gives none: one retry for ten first
// attempts, so that retries can add at most a tenth to an overload.
const DefaultRetryRatio = 0.1

// DefaultObjective is used where a model service gives none.
const DefaultObjective = TimeToFirstToken

// defaultDeadlines are starting values in milliseconds. A crew waits for a short answer
// on its feet, hence half a minute; the others grow with the prefill of their largest
// prompt. A service's team sets its own from what it measures.
var defaultDeadlines = [call.NumClasses]Deadline{
	call.Short:  {Class: call.Short.String(), DefaultMs: 30_000, MaxMs: 120_000},
	call.Medium: {Class: call.Medium.String(), DefaultMs: 120_000, MaxMs: 600_000},
	call.Long:   {Class: call.Long.String(), DefaultMs: 600_000, MaxMs: 1_800_000},
	call.Huge:   {Class: call.Huge.String(), DefaultMs: 1_800_000, MaxMs: 3_600_000},
}

// SetDefaults fills in what the document leaves out, so that every reader sees the
// same values. It is idempotent.
func SetDefaults(service *Service) {
	if service.RetryRatio == 0 {
		service.RetryRatio = DefaultRetryRatio
	}
	if service.Kind == KindModel && service.Objective == "" {
		service.Objective = DefaultObjective
	}
	for class := range call.NumClasses {
		if service.deadline(class) != nil || (service.Kind == KindPlain && class != call.Short) {
			continue
		}
		service.Deadlines = append(service.Deadlines, defaultDeadlines[class])
	}
}

// DeadlineFor returns the bounds on the time of a request of the given class. A plain
// service's calls have the class Short.
func (s *Service) DeadlineFor(class call.Class) Deadline {
	if class >= call.NumClasses {
		class = call.Huge
	}
	if own := s.deadline(class); own != nil {
		return *own
	}
	return defaultDeadlines[class]
}

func (s *Service) deadline(class call.Class) *Deadline {
	name := class.String()
	for i := range s.Deadlines {
		if s.Deadlines[i].Class == name {
			return &s.Deadlines[i]
		}
	}
	return nil
}
