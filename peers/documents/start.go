package documents

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"

	"acaciacleat.example/core/document"
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// objectName is the name of the object that holds an encoded state.
const objectName = "documents/state"

// SaveEvery is the number of revisions between two saved states. It bounds the rows of the log that a
// starting process reads, and keeps saves of 10 MB rare.
const SaveEvery = 64

// ErrDamaged means that an encoded state is truncated or corrupt.
var ErrDamaged = errors.New("documents: encoded state is damaged")

// encodedState is the encoded form of a state.
type encodedState struct {
	Revision document.Revision `json:"revision"`
	Services []encodedService  `json:"services"`
}

type encodedService struct {
	Changed  document.Revision `json:"changed"`
	Document *document.Service `json:"document"`
}

// Encode encodes the state for the object store or a peer: a line with a format number and a checksum,
// followed by JSON.
func (s *State) Encode() []byte {
	encoded := encodedState{Revision: s.Revision()}
	s.Snapshot.Services(func(service *document.Service) {
		encoded.Services = append(encoded.Services, encodedService{Changed: s.changed[service.Name], Document: service})
	})
	body := encode(encoded)
	return append(stateHeader(body), body...)
}

func stateHeader(body []byte) []byte {
	return fmt.Appendf(nil, "acaciacleat-state 1 %016x\n", xxhash.Sum64(body))
}

// Decode decodes a state that Encode has encoded. It returns ErrDamaged if the checksum does not match.
func Decode(data []byte) (*State, error) {
	end := bytes.IndexByte(data, '\n') + 1
	body := data[end:]
	if end == 0 || !bytes.Equal(data[:end], stateHeader(body)) {
		return nil, ErrDamaged
	}
	var encoded encodedState
	if err := json.Unmarshal(body, &encoded); err != nil {
		return nil, errors.Wrap(ErrDamaged, err.Error())
	}
	services := make([]*document.Service, 0, len(encoded.Services))
	changed := make(map[string]document.Revision, len(encoded.Services))
	for _, service := range encoded.Services {
		services = append(services, service.Document)
		changed[service.Document.Name] = service.Changed
	}
	return &State{Snapshot: document.Compile(encoded.Revision, services), changed: changed}, nil
}

// Save writes the state to the object store. The process that creates a revision divisible by
// SaveEvery should call it. If two processes race and the older state remains, the only effect is that
// a starting process reads more rows of the log.
func (s *Store) Save(ctx context.Context, state *State) error {
	return s.config.Objects.Put(ctx, objectName, state.Encode())
}

// Source returns an encoded state from a source other than the platform, such as a peer.
type Source func(ctx context.Context) ([]byte, error)

// StartResult is the result of Start.
type StartResult struct {
	State *State
	// Confirmed is set if the state was read from the table. Otherwise it comes from the object store
	// or a peer and may be outdated: the process must not admit requests before it has asked enough
	// peers for the highest revision.
	Confirmed bool
}

// Start returns the newest available state: the saved state with the table's later changes or, if the
// table is unavailable, the state with the highest revision among the saved one and those of peers.
func (s *Store) Start(ctx context.Context, peers ...Source) (StartResult, error) {
	best := Empty()
	if data, err := s.config.Objects.Get(ctx, objectName); err == nil {
		best = newerState(best, data)
	}
	state, err := s.Advance(ctx, best)
	if errors.Is(err, ErrReverted) {
		return StartResult{}, err
	}
	if err == nil {
		return StartResult{State: state, Confirmed: true}, nil
	}
	for _, peer := range peers {
		if data, peerErr := peer(ctx); peerErr == nil {
			best = newerState(best, data)
		}
	}
	if best.Revision() == 0 {
		return StartResult{}, errors.Wrap(ErrNoState, err.Error())
	}
	return StartResult{State: best}, nil
}

// newerState returns the encoded state if it is valid and has a higher revision than best, and best
// otherwise.
func newerState(best *State, data []byte) *State {
	state, err := Decode(data)
	if err != nil || state.Revision() <= best.Revision() {
		return best
	}
	return state
}
