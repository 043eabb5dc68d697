package framing

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// ErrMalformed means that an upstream sent what is no well-formed HTTP/1 answer (RFC 9110, RFC 9112).
var ErrMalformed = fmt.Errorf("framing: malformed answer")

// place is where in an answer the next byte belongs.
type place uint8

const (
	inStatusLine place = iota
	inFields
	inBody
	inChunkSize
	inChunkData
	inChunkEnd
	inTrailers
	// untilClose is in a body that the end of the connection ends.
	untilClose
	// behindAnswer is behind the end of an answer.
	behindAnswer
)

// validator checks the bytes of one answer as they arrive. It accepts less than net/http, which leaves out lines that it
// can't read: what follows them, or was in them, may have been what frames the answer.
type validator struct {
	// method is that of the request; an answer to HEAD has no body.
	method string
	place  place
	// line holds the beginning of a line whose end has not arrived yet.
	line []byte
	// minor is the minor version of HTTP/1, status the status code.
	minor  byte
	status int
	// chunked and length are how the head frames the body; length is negative if the head has none.
	chunked bool
	length  int64
	// left is the number of bytes of the body or the chunk that have not arrived yet.
	left int64
}

func newValidator(method string) validator { return validator{method: method, length: -1} }

// next checks the next bytes. If they are malformed, n is the number of bytes before the line that is.
func (v *validator) next(p []byte) (n int, err error) {
	for n < len(p) {
		switch v.place {
		case untilClose, behindAnswer:
			return len(p), nil
		case inBody, inChunkData:
			taken := min(v.left, int64(len(p)-n))
			n, v.left = n+int(taken), v.left-taken
			if v.left == 0 {
				v.endData()
			}
			continue
		}
		end := bytes.IndexByte(p[n:], '\n')
		if end < 0 {
			v.line = append(v.line, p[n:]...)
			if len(v.line) > MaxHeadBytes {
				return n, fmt.Errorf("%w: a line of more than %d bytes", ErrMalformed, MaxHeadBytes)
			}
			return len(p), nil
		}
		line := p[n : n+end]
		if len(v.line) > 0 {
			v.line = append(v.line, line...)
			line, v.line = v.line, v.line[:0]
		}
		if err := v.endLine(bytes.TrimSuffix(line, []byte("\r"))); err != nil {
			return n, err
		}
		n += end + 1
	}
	return n, nil
}

func (v *validator) endData() {
	if v.place == inChunkData {
		v.place = inChunkEnd
		return
	}
	v.place = behindAnswer
}

// endLine handles a line without its end.
func (v *validator) endLine(line []byte) error {
	switch v.place {
	case inStatusLine:
		return v.statusLine(line)
	case inFields:
		if len(line) == 0 {
			return v.endHead()
		}
		return v.field(line)
	case inChunkSize:
		return v.chunkSize(line)
	case inChunkEnd:
		if len(line) > 0 {
			return malformed("a chunk is longer than its size", line)
		}
		v.place = inChunkSize
		return nil
	default:
		return v.trailer(line)
	}
}

// malformed returns an error that quotes the beginning of a line.
func malformed(what string, line []byte) error {
	return fmt.Errorf("%w: %s: %.60q", ErrMalformed, what, line)
}

// The status codes that an answer may have. Informational answers come before it; switchingProtocols ends the use of
// HTTP on the connection, which no caller asks for.
const (
	minInformational   = 100
	switchingProtocols = http.StatusSwitchingProtocols
	minStatus          = 200
	maxStatus          = 599
)

// statusLine handles a status line such as "HTTP/1.1 200 OK". The reason and the blank before it may be missing.
func (v *validator) statusLine(line []byte) error {
	const version, minorAt, codeAt, codeEnd = "HTTP/1.", 7, 9, 12
	if len(line) < codeEnd || string(line[:minorAt]) != version || !isDigit(line[minorAt]) || line[minorAt+1] != ' ' {
		return malformed("no status line of HTTP/1", line)
	}
	code, rest := line[codeAt:codeEnd], line[codeEnd:]
	for _, digit := range code {
		if !isDigit(digit) {
			return malformed("the status isn't of three digits", line)
		}
	}
	if len(rest) > 0 && (rest[0] != ' ' || !isText(rest)) {
		return malformed("the status line goes on after the status", line)
	}
	v.minor = line[minorAt]
	v.status, _ = strconv.Atoi(string(code)) // Three digits.
	if v.status < minInformational || v.status > maxStatus || v.status == switchingProtocols {
		return malformed("no such status", line)
	}
	v.place, v.chunked, v.length = inFields, false, -1
	return nil
}

// field handles a field of the head.
func (v *validator) field(line []byte) error {
	name, value, err := splitField(line)
	switch {
	case err != nil:
		return err
	case bytes.EqualFold(name, transferEncoding):
		if v.chunked || v.minor == '0' || !bytes.EqualFold(value, chunkedCoding) {
			return malformed("the body isn't sent in chunks alone", line)
		}
		v.chunked = true
	case bytes.EqualFold(name, contentLength):
		return v.addLength(line, string(value))
	}
	return nil
}

// The fields that frame a body, and the value for chunks.
var (
	transferEncoding = []byte("Transfer-Encoding")
	contentLength    = []byte("Content-Length")
	chunkedCoding    = []byte("chunked")
)

// maxLengthDigits bounds a length, so that it fits its type.
const maxLengthDigits = 18

// addLength handles a length, which may be repeated.
func (v *validator) addLength(line []byte, value string) error {
	for part := range strings.SplitSeq(value, ",") {
		part = strings.Trim(part, " \t")
		length, err := strconv.ParseUint(part, 10, 63)
		if err != nil || len(part) > maxLengthDigits || v.length >= 0 && v.length != int64(length) {
			return malformed("no length, or another one than before", line)
		}
		v.length = int64(length)
	}
	return nil
}

// endHead handles the end of a head.
func (v *validator) endHead() error {
	switch {
	case v.status < minStatus:
		v.place = inStatusLine
	case v.chunked && v.length >= 0:
		return fmt.Errorf("%w: both a length and chunks", ErrMalformed)
	case v.method == http.MethodHead, v.status == http.StatusNoContent, v.status == http.StatusNotModified, v.length == 0:
		v.place = behindAnswer
	case v.chunked:
		v.place = inChunkSize
	case v.length > 0:
		v.place, v.left = inBody, v.length
	default:
		v.place = untilClose
	}
	return nil
}

// maxChunkDigits bounds the size of a chunk, so that it fits its type.
const maxChunkDigits = 15

// chunkSize handles the line before a chunk: its size and extensions, which are ignored.
func (v *validator) chunkSize(line []byte) error {
	size, _, _ := bytes.Cut(line, []byte(";"))
	size = bytes.TrimRight(size, " \t")
	n, err := strconv.ParseUint(string(size), 16, 63)
	if err != nil || len(size) > maxChunkDigits || !isText(line) {
		return malformed("no size of a chunk", line)
	}
	v.place, v.left = inChunkData, int64(n)
	if n == 0 {
		v.place = inTrailers
	}
	return nil
}

// trailer handles a line behind the last chunk.
func (v *validator) trailer(line []byte) error {
	if len(line) == 0 {
		v.place = behindAnswer
		return nil
	}
	name, _, err := splitField(line)
	if err == nil && (bytes.EqualFold(name, transferEncoding) || bytes.EqualFold(name, contentLength)) {
		return malformed("a trailer frames the body", line)
	}
	return err
}

// splitField splits a field of a head or trailer.
func splitField(line []byte) (name, value []byte, err error) {
	at := bytes.IndexByte(line, ':')
	if at <= 0 {
		return nil, nil, malformed("no field", line)
	}
	for _, c := range line[:at] {
		if !isTokenByte(c) {
			return nil, nil, malformed("the name of a field is no token", line)
		}
	}
	if !isText(line[at+1:]) {
		return nil, nil, malformed("a field holds a control byte", line)
	}
	return line[:at], bytes.Trim(line[at+1:], " \t"), nil
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// isTokenByte reports whether a byte may be part of a token.
func isTokenByte(c byte) bool {
	return isDigit(c) || 'a' <= c|0x20 && c|0x20 <= 'z' || strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}

// isText reports whether a text holds no control bytes but tabs.
func isText(text []byte) bool {
	const del = 0x7f
	return !bytes.ContainsFunc(text, func(r rune) bool { return r < ' ' && r != '\t' || r == del })
}
