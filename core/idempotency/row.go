package idempotency

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"

	"acaciacleat.example/core/call"
)

// Table is the name of the table that holds the rows of keyed calls.
const Table = "idempotency"

// rowFormat is the version of the row's encoding.
const rowFormat = 1

// RequestHash is the SHA-256 hash of what must be the same in two calls with one key:
// the method, the path and the body.
type RequestHash [sha256.Size]byte

// HashRequest hashes a request. The parts are kept apart by their lengths.
func HashRequest(method, path string, body []byte) RequestHash {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(path), body} {
		sum := sha256.Sum256(part)
		h.Write(sum[:])
	}
	return RequestHash(h.Sum(nil))
}

// RowName returns the name of the row of an organisation's Idempotency-Key in a
// service. The key is hashed: it is of any length and belongs to the caller.
func RowName(service, organisation, key string) string {
	sum := sha256.Sum256([]byte(key))
	return service + "/" + organisation + "/" + hex.EncodeToString(sum[:])
}

// ServiceOf returns the service that a row belongs to.
func ServiceOf(rowName string) string {
	service, _, _ := strings.Cut(rowName, "/")
	return service
}

// Binding says which agent incarnation may run a call.
type Binding struct {
	// Agent is the VM's identity in the list of VMs.
	Agent       string
	Incarnation call.Incarnation
	// Stamp is the agent's clock when it was chosen; every offer of the call carries it.
	Stamp time.Duration
	// Attempt counts the bindings of the call from 1.
	Attempt call.Attempt
}

// Row is the value of a keyed call's row.
type Row struct {
	Request RequestHash
	// ID is the id under which the call is offered to the bound agent, by every try. It
	// is the request id of the try that wrote the row: each try that binds the key uses
	// its own, so that what is proved of a request's id is proved of that request.
	ID      call.ID
	Binding Binding
	// Writer is the token of the write that put the row. A claimant whose answer was
	// lost finds its own write by it.
	Writer string
	// Expires is when the row may be deleted, by the writer's wall clock.
	Expires time.Time
}

// rowJSON is the stored form of a Row.
type rowJSON struct {
	Format      int           `json:"format"`
	Request     string        `json:"request"`
	ID          string        `json:"id"`
	Agent       string        `json:"agent"`
	Incarnation uint64        `json:"incarnation"`
	StampNs     time.Duration `json:"stampNs"`
	Attempt     uint32        `json:"attempt"`
	Writer      string        `json:"writer"`
	ExpiresMs   int64         `json:"expiresMs"`
}

// Encode returns the stored form of the row.
func (r *Row) Encode() []byte {
	// A struct of strings and numbers always marshals.
	value, _ := json.Marshal(rowJSON{
		Format:      rowFormat,
		Request:     hex.EncodeToString(r.Request[:]),
		ID:          r.ID.String(),
		Agent:       r.Binding.Agent,
		Incarnation: uint64(r.Binding.Incarnation),
		StampNs:     r.Binding.Stamp,
		Attempt:     uint32(r.Binding.Attempt),
		Writer:      r.Writer,
		ExpiresMs:   r.Expires.UnixMilli(),
	})
	return value
}

// DecodeRow reads what Encode wrote. Fields that it does not know are ignored, so that
// a newer entry may add some while older ones still run.
func DecodeRow(value []byte) (Row, error) {
	var stored rowJSON
	if err := json.Unmarshal(value, &stored); err != nil {
		return Row{}, errors.Wrap(err, "idempotency row")
	}
	if stored.Format != rowFormat {
		return Row{}, errors.Errorf("idempotency row: format %d is not %d", stored.Format, rowFormat)
	}
	if stored.Agent == "" || stored.Incarnation == 0 || stored.StampNs < 0 || stored.Attempt == 0 || stored.Writer == "" {
		return Row{}, errors.New("idempotency row: a field is missing")
	}
	row := Row{Writer: stored.Writer, Expires: time.UnixMilli(stored.ExpiresMs)}
	row.Binding = Binding{
		Agent:       stored.Agent,
		Incarnation: call.Incarnation(stored.Incarnation),
		Stamp:       stored.StampNs,
		Attempt:     call.Attempt(stored.Attempt),
	}
	if err := decodeHashes(&row, stored); err != nil {
		return Row{}, err
	}
	return row, nil
}

func decodeHashes(row *Row, stored rowJSON) error {
	id, err := call.ParseID(stored.ID)
	if err != nil {
		return errors.Wrap(err, "idempotency row")
	}
	row.ID = id
	request, err := hex.DecodeString(stored.Request)
	if err != nil || len(request) != len(row.Request) {
		return errors.Errorf("idempotency row: request hash %q", stored.Request)
	}
	row.Request = RequestHash(request)
	return nil
}
