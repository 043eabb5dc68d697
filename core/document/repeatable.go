package document

import (
	"net/url"
	"path"
	"strings"
)

// Repeatable reports whether a call may be sent again after it may have run.
//
// The rule: a call is repeatable unless a pattern of NonRepeatable matches it; the
// method alone decides nothing, since a team may list a GET that has an effect. "*"
// stands for every method, and a pattern for GET covers HEAD, which runs the same code.
//
// A path that an upstream reads more leniently than this matcher would slip past its
// pattern, and a call that must run once could run twice: "/jobs/", "//jobs", "/JOBS",
// "/jobs;v=1" or "/%6Aobs" for "/jobs". So the query is dropped, letter case, empty
// segments, dot segments and parameters don't count, and a path is matched both as sent
// and with its escapes decoded. A path whose escapes can't be decoded is repeatable only where no pattern
// has its method. Matching too much costs a retry and never a second run.
func (s *Service) Repeatable(method, target string) bool {
	readings, readable := readPath(target)
	for i := range s.NonRepeatable {
		pattern := &s.NonRepeatable[i]
		if !pattern.coversMethod(method) {
			continue
		}
		if !readable || pattern.coversAny(readings) {
			return false
		}
	}
	return true
}

func (p *CallPattern) coversMethod(method string) bool {
	if p.Method == "*" || strings.EqualFold(p.Method, method) {
		return true
	}
	return p.Method == "GET" && strings.EqualFold(method, "HEAD")
}

func (p *CallPattern) coversAny(readings [][]string) bool {
	pattern := segments(p.Path)
	for _, reading := range readings {
		if matchSegments(pattern, reading) {
			return true
		}
	}
	return false
}

// readPath returns the ways in which an upstream may split a path into segments: with
// an escaped slash inside a segment or between two, with dot segments kept or resolved.
func readPath(target string) (readings [][]string, readable bool) {
	target, _, _ = strings.Cut(target, "?")
	target, _, _ = strings.Cut(target, "#")
	decoded, err := url.PathUnescape(target)
	if err != nil {
		return nil, false
	}
	asSent := segments(target)
	for i, segment := range asSent {
		asSent[i], _ = url.PathUnescape(segment)
	}
	resolved := segments(path.Clean("/" + decoded))
	return [][]string{segments(target), asSent, segments(decoded), resolved, withoutParameters(resolved)}, true
}

// withoutParameters drops what follows a ';' in each segment, as some servers do.
func withoutParameters(path []string) []string {
	bare := make([]string, len(path))
	for i, segment := range path {
		bare[i], _, _ = strings.Cut(segment, ";")
	}
	return bare
}

// segments splits a path and leaves out empty segments.
func segments(path string) []string {
	return strings.FieldsFunc(path, func(r rune) bool { return r == '/' })
}

func matchSegments(pattern, path []string) bool {
	for i, want := range pattern {
		if want == "**" && i == len(pattern)-1 {
			return true
		}
		if i >= len(path) {
			return false
		}
		if want != "*" && !strings.EqualFold(want, path[i]) {
			return false
		}
	}
	return len(pattern) == len(path)
}
