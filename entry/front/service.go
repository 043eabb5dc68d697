package front

import (
	"net/http"
	"net/url"
	"strings"
	"sync"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/deadline"
	"acaciacleat.example/core/document"
	"acaciacleat.example/core/idempotency"
	"acaciacleat.example/core/result"
	"acaciacleat.example/core/routing"
	"acaciacleat.example/entry/flight"
	"acaciacleat.example/entry/record"
	"acaciacleat.example/peers/caller"
	"acaciacleat.example/peers/link"
)

// HeaderIdempotencyKey is the request header by which a repeated call is recognised.
const HeaderIdempotencyKey = "Idempotency-Key"

// maxKeyBytes bounds an Idempotency-Key.
const maxKeyBytes = 255

// callService handles a call of a plain service. target is the escaped path, without the query, from the service's name on.
func (f *Front) callService(w http.ResponseWriter, r *http.Request, target string) {
	q := f.begin(w, r, false)
	if q == nil {
		return
	}
	name, path := serviceTarget(target, r.URL.RawQuery)
	service := q.snapshot.Service(name)
	if err := q.authorize(service, name); err != nil {
		q.fail(err)
		return
	}
	if err := q.readBody(sentCopies); err != nil {
		q.fail(err)
		return
	}
	spec, err := q.serviceSpec(service, path)
	if err != nil {
		q.fail(err)
		return
	}
	if err := q.admit(service, &spec); err != nil {
		q.fail(err)
		return
	}
	defer q.releaseQuota()
	sink := &serviceSink{request: q}
	outcome := flight.New(f.config.Registry, spec, sink).Run(r.Context())
	if outcome.Err == nil {
		q.finish(nil)
		return
	}
	sink.fail(outcome.Err)
}

// authorize checks that the service of a name is a plain one that the organisation may call.
func (q *request) authorize(service *document.Service, name string) *result.Error {
	if service == nil || service.Kind != document.KindPlain {
		return result.New(result.UnknownService, result.NotRun, "service %q", name)
	}
	if q.principal.OrganisationIn(name) == nil {
		return result.New(result.NotAllowed, result.NotRun, "organisation %q, service %q", q.principal.Organisation, name)
	}
	return nil
}

// serviceSpec returns the flight.Spec of a call of a plain service.
func (q *request) serviceSpec(service *document.Service, path string) (flight.Spec, *result.Error) {
	timeLeft, err := deadline.Parse(q.http.Header.Get(deadline.Header), deadline.BoundsFor(service, call.Short))
	if err != nil {
		return flight.Spec{}, err
	}
	repeatable := service.Repeatable(q.http.Method, path)
	key, err := q.idempotencyKey(service, path, repeatable)
	if err != nil {
		return flight.Spec{}, err
	}
	q.record.Update(func(r *record.Request) {
		r.Service = service.Name
		r.Deadline = timeLeft.String()
	})
	return flight.Spec{
		ID:       q.id,
		Body:     q.body,
		Deadline: q.started.Add(timeLeft),
		Offer: link.Offer{
			Service:      service.Name,
			Organisation: q.principal.Organisation,
			Plain:        true,
			Repeatable:   repeatable,
			Method:       q.http.Method,
			Path:         path,
			Header:       forwardedHeaders(q.http.Header),
			Revision:     uint64(q.snapshot.Revision),
			TraceParent:  q.span.TraceParent(),
		},
		Route: routing.Request{
			Service:      service.Name,
			Organisation: q.principal.Organisation,
			Zone:         q.front.config.Zone,
		},
		MaxRetries:  maxRetries,
		Key:         key,
		Fingerprint: sync.OnceValue(q.fingerprint),
		Observe:     q.observe,
	}, nil
}

// serviceTarget splits the escaped path below pathServices into the service's name and the escaped path at the service, with
// the query.
func serviceTarget(target, query string) (name, path string) {
	escaped, path, _ := strings.Cut(target, "/")
	name, err := url.PathUnescape(escaped)
	if err != nil {
		name = escaped // It is the name of no service.
	}
	path = "/" + path
	if query != "" {
		path += "?" + query
	}
	return name, path
}

// idempotencyKey reads the Idempotency-Key. It returns nil for a repeatable call, which needs
// no row in the table because it may run more than once.
func (q *request) idempotencyKey(service *document.Service, path string, repeatable bool) (*flight.Key, *result.Error) {
	values, present := q.http.Header[HeaderIdempotencyKey]
	if !present {
		return nil, nil
	}
	if len(values) != 1 || !validKey(values[0]) {
		return nil, result.New(result.BadIdempotencyKey, result.NotRun, "want one value of 1 to %d printable ASCII characters", maxKeyBytes)
	}
	if repeatable {
		return nil, nil
	}
	return &flight.Key{
		Row:   idempotency.RowName(service.Name, q.principal.Organisation, values[0]),
		Hash:  idempotency.HashRequest(q.http.Method, path, q.body),
		Token: q.id.String(),
		Store: q.front.config.Store,
	}, nil
}

func validKey(key string) bool {
	if len(key) == 0 || len(key) > maxKeyBytes {
		return false
	}
	for i := range len(key) {
		if key[i] < ' ' || key[i] > '~' {
			return false
		}
	}
	return true
}

// unforwardedHeaders are the headers that concern one connection or this system. They are not
// forwarded, except that Content-Length is kept in answers.
var unforwardedHeaders = map[string]bool{
	"Authorization": true, "Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Host": true, "Content-Length": true, HeaderRequestID: true, HeaderExecution: true, deadline.Header: true,
}

func forwardedHeaders(header http.Header) []link.HeaderField {
	var fields []link.HeaderField
	for name, values := range header {
		if unforwardedHeaders[name] {
			continue
		}
		for _, value := range values {
			fields = append(fields, link.HeaderField{Name: name, Value: value})
		}
	}
	return fields
}

// serviceSink relays the answer of a plain service. It implements flight.Sink.
type serviceSink struct {
	request     *request
	headWritten bool
}

// Head implements flight.Sink.
func (s *serviceSink) Head(head *link.Head) error {
	s.headWritten = true
	h := s.request.writer.Header()
	for _, field := range head.Header {
		if !unforwardedHeaders[field.Name] || field.Name == "Content-Length" {
			h.Add(field.Name, field.Value)
		}
	}
	h.Set(HeaderRequestID, s.request.id.String())
	s.request.writer.WriteHeader(head.Status)
	return nil
}

// Data implements flight.Sink.
func (s *serviceSink) Data(_ uint32, data []byte) error {
	_, err := s.request.writer.Write(data)
	return err
}

// Flush implements flight.Sink.
func (s *serviceSink) Flush() error {
	return http.NewResponseController(s.request.writer).Flush()
}

// fail answers with an error. After the head was written it aborts the connection instead, so
// that the caller can't take a partial answer for a complete one.
func (s *serviceSink) fail(err *result.Error) {
	if !s.headWritten {
		s.request.fail(err)
		return
	}
	s.request.finish(err)
	caller.Abort(s.request.writer, s.request.http)
}
