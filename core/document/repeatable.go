package document

import (
	"net/url"
	"path"
	"strings"
)

// Repeatable reports whether a call may be sent again after it may have run.
//
// A call is repeatable unless a pattern of NonRepeatable matches it. The method alone is
// not decisive, since a service may list a GET that has side effects. "*" matches every
// method, and a pattern for GET also matches HEAD, which runs the same code.
//
// An upstream may accept other spellings of a listed path: "/jobs/", "//jobs", "/JOBS",
// "/jobs;v=1" or "/%6Aobs" for "/jobs". If the matcher missed one of them, the call could be
// retried and run twice. Therefore the query and the fragment are dropped; letter case, empty
// segments, dot segments and parameters are ignored; and a path is matched both as sent and
// with its escapes decoded. A path whose escapes can't be decoded is repeatable only if no
// pattern matches its method. A false match prevents a retry but never causes a second run.
func (s *Service) Repeatable(method, target string) bool {
	variants, decodable := interpretPath(target)
	for i := range s.NonRepeatable {
		pattern := &s.NonRepeatable[i]
		if !pattern.matchesMethod(method) {
			continue
		}
		if !decodable || pattern.matchesAny(variants) {
			return false
		}
	}
	return true
}

func (p *CallPattern) matchesMethod(method string) bool {
	if p.Method == "*" || strings.EqualFold(p.Method, method) {
		return true
	}
	return p.Method == "GET" && strings.EqualFold(method, "HEAD")
}

func (p *CallPattern) matchesAny(variants [][]string) bool {
	pattern := segments(p.Path)
	for _, variant := range variants {
		if matchSegments(pattern, variant) {
			return true
		}
	}
	return false
}

// interpretPath returns the ways in which an upstream may split a path into segments: as sent;
// decoded after the split, so that an escaped slash stays in its segment; decoded before the
// split, so that it separates two; then also with dot segments resolved; and finally also
// without parameters. decodable is false if the path has an invalid escape.
func interpretPath(target string) (variants [][]string, decodable bool) {
	target, _, _ = strings.Cut(target, "?")
	target, _, _ = strings.Cut(target, "#")
	decoded, err := url.PathUnescape(target)
	if err != nil {
		return nil, false
	}
	decodedSegments := segments(target)
	for i, segment := range decodedSegments {
		decodedSegments[i], _ = url.PathUnescape(segment)
	}
	resolved := segments(path.Clean("/" + decoded))
	return [][]string{segments(target), decodedSegments, segments(decoded), resolved, withoutParameters(resolved)}, true
}

// withoutParameters drops the part after a ';' in each segment, as some servers do.
func withoutParameters(path []string) []string {
	stripped := make([]string, len(path))
	for i, segment := range path {
		stripped[i], _, _ = strings.Cut(segment, ";")
	}
	return stripped
}

// segments splits a path and omits empty segments.
func segments(path string) []string {
	return strings.FieldsFunc(path, func(r rune) bool { return r == '/' })
}

func matchSegments(pattern, path []string) bool {
	for i, segment := range pattern {
		if segment == "**" && i == len(pattern)-1 {
			return true
		}
		if i >= len(path) {
			return false
		}
		if segment != "*" && !strings.EqualFold(segment, path[i]) {
			return false
		}
	}
	return len(pattern) == len(path)
}
