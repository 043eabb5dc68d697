package link

import (
	"bytes"
	"encoding/binary"

	"acaciacleat.example/core/call"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// headerBytes is the size of a frame's header: the payload's length (4 bytes, big endian) and
	// the frame's type (1 byte).
	headerBytes = 5
	// MaxFrameBytes bounds a frame's payload, so that a faulty peer can't cause an unbounded
	// buffer.
	MaxFrameBytes = 1 << 20
	// InlineBodyBytes is the largest body that is sent inside an Offer. A larger body is sent in
	// parts after the offer is accepted, so that a refused offer costs no transfer of megabytes.
	InlineBodyBytes = 64 << 10
	// BodyPartBytes is the maximum data size of one Body message.
	BodyPartBytes = 256 << 10
)

// ErrFrame means that a frame is malformed or too large. On receipt, the link is closed.
var ErrFrame = errors.New("link: malformed frame")

// frameWriter appends frames to a buffer. It is not safe for concurrent use.
type frameWriter struct {
	buf []byte
	enc *msgpack.Encoder
}

func newFrameWriter() *frameWriter {
	w := &frameWriter{}
	w.enc = msgpack.NewEncoder(w)
	w.enc.UseCompactInts(true)
	// Arrays without field names keep frames small. A decoder rejects an array of another length,
	// so the fields of a message that processes of two versions exchange must not change.
	w.enc.UseArrayEncodedStructs(true)
	return w
}

// Write implements io.Writer for the encoder.
func (w *frameWriter) Write(p []byte) (int, error) {
	w.buf = append(w.buf, p...)
	return len(p), nil
}

// WriteByte implements io.ByteWriter, so that the encoder needs no wrapper.
func (w *frameWriter) WriteByte(b byte) error {
	w.buf = append(w.buf, b)
	return nil
}

// append appends one frame. If it fails, the buffer is unchanged.
func (w *frameWriter) append(message Message) error {
	start := len(w.buf)
	w.buf = append(w.buf, 0, 0, 0, 0, byte(message.Type()))
	err := w.encode(message)
	size := len(w.buf) - start - headerBytes
	if err == nil && size > MaxFrameBytes {
		err = errors.Wrapf(ErrFrame, "type %d has %d bytes", message.Type(), size)
	}
	if err != nil {
		w.buf = w.buf[:start]
		return err
	}
	binary.BigEndian.PutUint32(w.buf[start:], uint32(size))
	return nil
}

func (w *frameWriter) encode(message Message) error {
	switch m := message.(type) {
	case *Chunk:
		return w.encodeChunk(m)
	case *Ack:
		return w.encodeAck(m)
	case *ping:
		return nil
	case *Encoded:
		w.buf = append(w.buf, m.payload...)
		return nil
	default:
		return w.enc.Encode(message)
	}
}

// encodeChunk and encodeAck encode by hand the two messages that are sent for each token, because
// this path must not allocate.
func (w *frameWriter) encodeChunk(m *Chunk) error {
	w.buf = append(w.buf, m.ID[:]...)
	if err := w.enc.EncodeUint(uint64(m.Attempt)); err != nil {
		return err
	}
	if err := w.enc.EncodeUint(m.Seq); err != nil {
		return err
	}
	if err := w.enc.EncodeUint(uint64(m.Tokens)); err != nil {
		return err
	}
	return w.enc.EncodeBytes(m.Data)
}

func (w *frameWriter) encodeAck(m *Ack) error {
	w.buf = append(w.buf, m.ID[:]...)
	if err := w.enc.EncodeUint(uint64(m.Attempt)); err != nil {
		return err
	}
	return w.enc.EncodeUint(m.Seq)
}

// frameReader decodes payloads. It is not safe for concurrent use.
type frameReader struct {
	reader bytes.Reader
	dec    *msgpack.Decoder
	chunk  Chunk
	ack    Ack
}

func newFrameReader() *frameReader {
	r := &frameReader{}
	r.dec = msgpack.NewDecoder(&r.reader)
	return r
}

// decode decodes one payload. A Chunk or an Ack is valid until the next call; a Chunk's Data refers
// to the payload and is valid only as long as the payload is.
func (r *frameReader) decode(frameType Type, payload []byte) (Message, error) {
	switch frameType {
	case TypeChunk:
		return r.decodeChunk(payload)
	case TypeAck:
		return r.decodeAck(payload)
	case typePing:
		return &ping{}, nil
	}
	message := newMessage(frameType)
	if message == nil {
		return nil, errors.Wrapf(ErrFrame, "unknown type %d", frameType)
	}
	r.reader.Reset(payload)
	r.dec.Reset(&r.reader)
	if err := r.dec.Decode(message); err != nil {
		return nil, errors.Wrapf(ErrFrame, "type %d: %v", frameType, err)
	}
	return message, nil
}

func (r *frameReader) decodeChunk(payload []byte) (Message, error) {
	rest, err := r.startWithID(payload, &r.chunk.ID)
	if err != nil {
		return nil, err
	}
	attempt, err := r.dec.DecodeUint32()
	if err != nil {
		return nil, errors.Wrap(ErrFrame, "chunk attempt")
	}
	r.chunk.Attempt = call.Attempt(attempt)
	if r.chunk.Seq, err = r.dec.DecodeUint64(); err != nil {
		return nil, errors.Wrap(ErrFrame, "chunk sequence number")
	}
	if r.chunk.Tokens, err = r.dec.DecodeUint32(); err != nil {
		return nil, errors.Wrap(ErrFrame, "chunk tokens")
	}
	size, err := r.dec.DecodeBytesLen()
	if err != nil || size > r.reader.Len() {
		return nil, errors.Wrap(ErrFrame, "chunk data")
	}
	size = max(size, 0)
	start := len(rest) - r.reader.Len()
	r.chunk.Data = rest[start : start+size]
	return &r.chunk, nil
}

func (r *frameReader) decodeAck(payload []byte) (Message, error) {
	if _, err := r.startWithID(payload, &r.ack.ID); err != nil {
		return nil, err
	}
	attempt, err := r.dec.DecodeUint32()
	if err != nil {
		return nil, errors.Wrap(ErrFrame, "ack attempt")
	}
	r.ack.Attempt = call.Attempt(attempt)
	if r.ack.Seq, err = r.dec.DecodeUint64(); err != nil {
		return nil, errors.Wrap(ErrFrame, "ack sequence number")
	}
	return &r.ack, nil
}

// startWithID reads the call ID at the start of the payload, resets the decoder to the remaining
// bytes and returns these.
func (r *frameReader) startWithID(payload []byte, id *call.ID) ([]byte, error) {
	if len(payload) < len(id) {
		return nil, errors.Wrap(ErrFrame, "too short for an id")
	}
	copy(id[:], payload)
	rest := payload[len(id):]
	r.reader.Reset(rest)
	r.dec.Reset(&r.reader)
	return rest, nil
}

func newMessage(frameType Type) Message {
	switch frameType {
	case typeChallenge:
		return &challenge{}
	case typeHello:
		return &hello{}
	case typeWelcome:
		return &welcome{}
	case typePong:
		return &pong{}
	case TypeOffer:
		return &Offer{}
	case TypeAccepted:
		return &Accepted{}
	case TypeRefused:
		return &Refused{}
	case TypeBody:
		return &Body{}
	case TypeHead:
		return &Head{}
	case TypeEnd:
		return &End{}
	case TypeCancel:
		return &Cancel{}
	case TypeCancelled:
		return &Cancelled{}
	case TypeResume:
		return &Resume{}
	case TypeUnknownCall:
		return &UnknownCall{}
	case TypeLeaving:
		return &Leaving{}
	case TypeLeft:
		return &Left{}
	case TypeLoads:
		return &Loads{}
	case TypeHold:
		return &Hold{}
	case TypeHeld:
		return &Held{}
	case TypeRelease:
		return &Release{}
	case TypeConfigPush:
		return &ConfigPush{}
	case TypeConfigAck:
		return &ConfigAck{}
	case TypeConfigRequest:
		return &ConfigRequest{}
	case TypeConfigAnswer:
		return &ConfigAnswer{}
	case TypeLimitRequest:
		return &LimitRequest{}
	case TypeLimitGrant:
		return &LimitGrant{}
	case TypeLimitRenew:
		return &LimitRenew{}
	case TypeStatusRequest:
		return &StatusRequest{}
	case TypeStatus:
		return &Status{}
	case TypeOrder:
		return &Order{}
	case TypeOrderAnswer:
		return &OrderAnswer{}
	case TypeDispatchUpdate:
		return &DispatchUpdate{}
	case TypeRoutes:
		return &Routes{}
	case TypeRoutesRequest:
		return &RoutesRequest{}
	case TypeFeedUpdate:
		return &FeedUpdate{}
	case TypeRoutesPart:
		return &RoutesPart{}
	case TypeOverlay:
		return &Overlay{}
	default:
		return nil
	}
}
