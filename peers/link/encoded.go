package link

// Encoded is a message that is encoded once and sent on many links.
type Encoded struct {
	kind    Type
	payload []byte
}

// Encode encodes a message.
func Encode(message Message) (*Encoded, error) {
	w := newFrameWriter()
	if err := w.append(message); err != nil {
		return nil, err
	}
	return &Encoded{kind: message.Type(), payload: w.buf[headerBytes:]}, nil
}

// Type implements Message.
func (e *Encoded) Type() Type { return e.kind }
