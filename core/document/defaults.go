package document

import "acaciacleat.example/core/call"

// DefaultRetryRatio applies if a document has no retry ratio: one retry per ten
// first attempts, so that retries add at most a tenth to an overload.
const DefaultRetryRatio = 0.1

// DefaultObjective applies if a model service has no objective.
const DefaultObjective = TimeToFirstToken

// defaultDeadlines apply to classes for which a document has no deadline. People wait for
// short answers while they work, hence 30 s; the other deadlines grow with the prefill time
// of the largest prompt of the class.
var defaultDeadlines = [call.NumClasses]Deadline{
	call.Short:  {Class: call.Short.String(), DefaultMs: 30_000, MaxMs: 120_000},
	call.Medium: {Class: call.Medium.String(), DefaultMs: 120_000, MaxMs: 600_000},
	call.Long:   {Class: call.Long.String(), DefaultMs: 600_000, MaxMs: 1_800_000},
	call.Huge:   {Class: call.Huge.String(), DefaultMs: 1_800_000, MaxMs: 3_600_000},
}

// SetDefaults sets the retry ratio, the deadlines and, for a model service, the objective if
// the document omits them, so that every reader sees the same values. It is idempotent.
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

// DeadlineFor returns the time bounds of a request of the given class. Calls of a plain
// service have the class Short; an unknown class counts as Huge.
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
