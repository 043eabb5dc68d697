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

// objectName is the object that holds an encoded state.
const objectName = "documents/state"

// SaveEvery is the number of revisions between two saved states. A start then reads
// at most that many rows of the log, and a save of 10 MB is rare.
const SaveEvery = 64

// ErrDamaged means that an encoded state is cut short or changed.
var ErrDamaged = errors.New("documents: encoded state is damaged")

// image is the encoded form of a state.
type image struct {
	Revision document.Revision `json:"revision"`
	Services []imageService    `json:"services"`
}

type imageService struct {
	Changed  document.Revision `json:"changed"`
	Document *document.Service `json:"document"`
}

// Encode returns the state for the object store or a peer: a line with a format number
// and a checksum, then JSON.
func (s *State) Encode() []byte {
	whole := image{Revision: s.Revision()}
	s.Snapshot.Services(func(service *document.Service) {
		whole.Services = append(whole.Services, imageService{Changed: s.changed[service.Name], Document: service})
	})
	body := encode(whole)
	return append(stateHeader(body), body...)
}

func stateHeader(body []byte) []byte {
	return fmt.Appendf(nil, "acaciacleat-state 1 %016x\n", xxhash.Sum64(body))
}

// Decode reads what Encode wrote; it returns ErrDamaged when the checksum differs.
func Decode(data []byte) (*State, error) {
	end := bytes.IndexByte(data, '\n') + 1
	body := data[end:]
	if end == 0 || !bytes.Equal(data[:end], stateHeader(body)) {
		return nil, ErrDamaged
	}
	var whole image
	if err := json.Unmarshal(body, &whole); err != nil {
		return nil, errors.Wrap(ErrDamaged, err.Error())
	}
	services := make([]*document.Service, 0, len(whole.Services))
	changed := make(map[string]document.Revision, len(whole.Services))
	for _, service := range whole.Services {
		services = append(services, service.Document)
		changed[service.Document.Name] = service.Changed
	}
	return &State{Snapshot: document.Compile(whole.Revision, services), changed: changed}, nil
}

// Save puts the state into the object store, to be done by whoever made a revision that
// SaveEvery divides. Two savers may race and the older state stay: a start then reads a
// longer part of the log, nothing more.
func (s *Store) Save(ctx context.Context, state *State) error {
	return s.config.Objects.Put(ctx, objectName, state.Encode())
}

// Source returns an encoded state from somewhere other than the platform, such as a peer.
type Source func(ctx context.Context) ([]byte, error)

// Started is the state with which a process starts.
type Started struct {
	State *State
	// Confirmed says that the table gave the state. Otherwise it comes from the object
	// store or a peer and may be old: the process admits nothing before it has asked
	// enough peers for the highest revision.
	Confirmed bool
}

// Start finds the newest state that can be had: the saved one brought up to date from
// the table, or, with the table down, the highest of the saved one and the peers'.
func (s *Store) Start(ctx context.Context, peers ...Source) (Started, error) {
	best := Empty()
	if data, err := s.config.Objects.Get(ctx, objectName); err == nil {
		best = higher(best, data)
	}
	state, err := s.Advance(ctx, best)
	if errors.Is(err, ErrReverted) {
		return Started{}, err
	}
	if err == nil {
		return Started{State: state, Confirmed: true}, nil
	}
	for _, peer := range peers {
		if data, peerErr := peer(ctx); peerErr == nil {
			best = higher(best, data)
		}
	}
	if best.Revision() == 0 {
		return Started{}, errors.Wrap(ErrNoState, err.Error())
	}
	return Started{State: best}, nil
}

// higher returns the encoded state if it is sound and of a higher revision than best.
func higher(best *State, data []byte) *State {
	state, err := Decode(data)
	if err != nil || state.Revision() <= best.Revision() {
		return best
	}
	return state
}
