package front

import (
	"sync"
	"time"

	"acaciacleat.example/core/admission"
	"acaciacleat.example/core/call"
	"acaciacleat.example/core/result"
	"github.com/pkg/errors"
)

// admissions holds the admission controller of each service. It is safe for concurrent use.
type admissions struct {
	mu        sync.Mutex
	byService map[string]*admission.Controller
}

// controller returns the admission controller of a service and creates it if there is none. It is
// called with mu held.
func (a *admissions) controller(service string) *admission.Controller {
	if a.byService == nil {
		a.byService = make(map[string]*admission.Controller)
	}
	c := a.byService[service]
	if c == nil {
		c = admission.NewController()
		a.byService[service] = c
	}
	return c
}

// admit refuses a request that can't start before its deadline.
func (a *admissions) admit(service string, demand call.TokenDemand, predicted time.Duration, deadline time.Time) *result.Error {
	a.mu.Lock()
	defer a.mu.Unlock()
	err := a.controller(service).Admit(admission.Request{Demand: demand, Predicted: predicted, Deadline: deadline}, time.Now())
	var refused *result.Error
	if errors.As(err, &refused) {
		return refused
	}
	return nil
}

// observe records how long a request took to its first token, or how long it waited without
// getting one.
func (a *admissions) observe(service string, class call.Class, predicted, actual time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.controller(service).Observe(class, predicted, actual)
}
