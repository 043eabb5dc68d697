package link

// challenge starts the handshake. The acceptor sends it.
type challenge struct {
	Nonce []byte
}

// hello is the dialler's answer to the challenge.
type hello struct {
	Self  Identity
	Nonce []byte
	Proof []byte
}

// welcome is the acceptor's answer to hello.
type welcome struct {
	Self  Identity
	Proof []byte
	Stamp int64
}

// ping is a heartbeat. The peer answers it with a pong, which carries the peer's clock stamp.
type ping struct{}

type pong struct {
	Stamp int64
}

func (*challenge) Type() Type { return typeChallenge }
func (*hello) Type() Type     { return typeHello }
func (*welcome) Type() Type   { return typeWelcome }
func (*ping) Type() Type      { return typePing }
func (*pong) Type() Type      { return typePong }
