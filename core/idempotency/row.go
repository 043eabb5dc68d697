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

// rowFormat is the version of the encoding of a row.
const rowFormat = 1

// RequestHash is the SHA-256 hash of the parts of a request that must be equal in two
// calls with one key: the method, the path and the body.
type RequestHash [sha256.Size]byte

// HashRequest hashes a request. It hashes each part separately first, so that moving bytes
// from one part to the next changes the result.
func HashRequest(method, path string, body []byte) RequestHash {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(path), body} {
		sum := sha256.Sum256(part)
		h.Write(sum[:])
	}
	return RequestHash(h.Sum(nil))
}

// RowName returns the name of the row of an organisation's Idempotency-Key in a
// service. The key is hashed because callers choose it freely, in any length.
func RowName(service, organisation, key string) string {
	sum := sha256.Sum256([]byte(key))
	return service + "/" + organisation + "/" + hex.EncodeToString(sum[:])
}

// ServiceOf returns the service that a row belongs to.
func ServiceOf(rowName string) string {
	service, _, _ := strings.Cut(rowName, "/")
	return service
}

// Binding names the agent incarnation that may run a call.
type Binding struct {
	// Agent is the VM's identity in the list of VMs.
	Agent       string
	Incarnation call.Incarnation
	// Stamp is the agent's clock when the agent was chosen; every offer of the call
	// carries it.
	Stamp time.Duration
	// Attempt numbers the bindings of the call, from 1.
	Attempt call.Attempt
}

// Row is the value of a keyed call's row.
type Row struct {
	Request RequestHash
	// ID is the id under which every try offers the call to the bound agent. It is the
	// request id of the try that wrote the row. Each try that binds the key uses its own
	// request id, so that a proof about an id is a proof about that request.
	ID      call.ID
	Binding Binding
	// Writer is the token of the write that stored the row. A Claim that lost the answer
	// to its write recognises its own row by it.
	Writer string
	// Expires is the time after which the row may be deleted, by the writer's wall clock.
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

// DecodeRow decodes the stored form of a row. It ignores unknown fields, so that newer
// entries can add fields while older entries still run.
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
