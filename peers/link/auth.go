package link

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"sync/atomic"

	"acaciacleat.example/core/call"
	"github.com/pkg/errors"
)

// ErrAuth means that the peer did not prove that it holds the shared key.
var ErrAuth = errors.New("link: peer did not prove the shared key")

const nonceBytes = 32

// Identity identifies the process at one end of a link.
type Identity struct {
	// VM is the ID of the process's VM in the VM list.
	VM          string
	Role        string
	Zone        string
	Incarnation call.Incarnation
}

// Keys holds the shared keys. Proofs are made with the current key; the previous key is still
// accepted, so that a new key can be rolled out one process at a time. It is safe for concurrent
// use.
type Keys struct{ pair atomic.Pointer[keyPair] }

type keyPair struct{ current, previous []byte }

// NewKeys returns Keys; previous may be nil.
func NewKeys(current, previous []byte) *Keys {
	k := &Keys{}
	k.Set(current, previous)
	return k
}

// Set replaces both keys. Open links are not affected.
func (k *Keys) Set(current, previous []byte) {
	k.pair.Store(&keyPair{current: current, previous: previous})
}

// The labels keep a proof of one end from being replayed as the proof of the other end.
const (
	labelDial   = "acaciacleat link dial 1"
	labelAccept = "acaciacleat link accept 1"
)

func (k *Keys) prove(label string, peerNonce, ownNonce []byte, self *Identity) []byte {
	return proof(k.pair.Load().current, label, peerNonce, ownNonce, self)
}

func (k *Keys) verify(mac []byte, label string, ownNonce, peerNonce []byte, peer *Identity) bool {
	pair := k.pair.Load()
	if hmac.Equal(mac, proof(pair.current, label, ownNonce, peerNonce, peer)) {
		return true
	}
	return pair.previous != nil && hmac.Equal(mac, proof(pair.previous, label, ownNonce, peerNonce, peer))
}

// proof returns the HMAC by which the process with the given identity proves to the verifier that it
// holds the key.
func proof(key []byte, label string, verifierNonce, proverNonce []byte, identity *Identity) []byte {
	h := hmac.New(sha256.New, key)
	var size [8]byte
	for _, part := range [][]byte{[]byte(label), verifierNonce, proverNonce, []byte(identity.VM), []byte(identity.Role), []byte(identity.Zone)} {
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write(part)
	}
	binary.BigEndian.PutUint64(size[:], uint64(identity.Incarnation))
	h.Write(size[:])
	return h.Sum(nil)
}

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	// crypto/rand.Read never fails on the systems that Go supports.
	_, _ = rand.Read(nonce)
	return nonce
}

// NewIncarnation returns a new random incarnation for a starting process.
func NewIncarnation() call.Incarnation {
	var b [8]byte
	// crypto/rand.Read never fails on the systems that Go supports.
	_, _ = rand.Read(b[:])
	return call.Incarnation(binary.LittleEndian.Uint64(b[:]) | 1)
}
