package link

import "github.com/pkg/errors"

// sendHandshake queues a message while the link is still opening.
func (c *Conn) sendHandshake(message Message) error {
	c.mu.Lock()
	if c.state == stateClosed {
		c.mu.Unlock()
		return ErrClosed
	}
	return c.sendLocked(message)
}

// onChallenge is the dialler's first step: it answers with a proof of its key over both nonces.
func (c *Conn) onChallenge(m *challenge) error {
	if !c.dialed || c.nonce != nil || len(m.Nonce) != nonceBytes {
		return errors.Wrap(ErrAuth, "unexpected challenge")
	}
	c.nonce = newNonce()
	c.peerNonce = append([]byte(nil), m.Nonce...)
	self := c.node.self
	return c.sendHandshake(&hello{
		Self:  self,
		Nonce: c.nonce,
		Proof: c.node.keys.prove(labelDial, m.Nonce, c.nonce, &self),
	})
}

// onHello verifies the dialler's proof at the acceptor and answers with the acceptor's own proof.
func (c *Conn) onHello(m *hello) error {
	if c.dialed || c.isOpen() || len(m.Nonce) != nonceBytes {
		return errors.Wrap(ErrAuth, "unexpected hello")
	}
	if !c.node.keys.verify(m.Proof, labelDial, c.nonce, m.Nonce, &m.Self) {
		return ErrAuth
	}
	c.peer = m.Self
	self := c.node.self
	err := c.sendHandshake(&welcome{
		Self:  self,
		Proof: c.node.keys.prove(labelAccept, m.Nonce, c.nonce, &self),
		Stamp: c.node.Stamp(),
	})
	if err != nil {
		return err
	}
	c.markOpen()
	return nil
}

// onWelcome verifies the acceptor's proof at the dialler.
func (c *Conn) onWelcome(m *welcome) error {
	if !c.dialed || c.isOpen() || c.nonce == nil {
		return errors.Wrap(ErrAuth, "unexpected welcome")
	}
	if !c.node.keys.verify(m.Proof, labelAccept, c.nonce, c.peerNonce, &m.Self) {
		return ErrAuth
	}
	c.peer = m.Self
	c.SetStamp(m.Stamp)
	c.markOpen()
	return nil
}

func (c *Conn) markOpen() {
	c.mu.Lock()
	open := c.state == stateOpening
	if open {
		c.state = stateOpen
	}
	c.mu.Unlock()
	if open {
		c.node.handler.OnOpen(c)
		close(c.opened)
	}
}
