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

// onChallenge is the dialler's first step: it proves its key over both nonces.
func (c *Conn) onChallenge(m *challenge) error {
	if !c.dialed || c.nonce != nil || len(m.Nonce) != nonceBytes {
		return errors.Wrap(ErrAuth, "unexpected challenge")
	}
	c.nonce = newNonce()
	c.theirNonce = append([]byte(nil), m.Nonce...)
	self := c.node.self
	return c.sendHandshake(&hello{
		Self:  self,
		Nonce: c.nonce,
		Proof: c.node.keys.prove(labelDial, m.Nonce, c.nonce, &self),
	})
}

// onHello is the acceptor's check of the dialler's proof.
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
	c.becomeOpen()
	return nil
}

// onWelcome is the dialler's check of the acceptor's proof.
func (c *Conn) onWelcome(m *welcome) error {
	if !c.dialed || c.isOpen() || c.nonce == nil {
		return errors.Wrap(ErrAuth, "unexpected welcome")
	}
	if !c.node.keys.verify(m.Proof, labelAccept, c.nonce, c.theirNonce, &m.Self) {
		return ErrAuth
	}
	c.peer = m.Self
	c.SetStamp(m.Stamp)
	c.becomeOpen()
	return nil
}

func (c *Conn) becomeOpen() {
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
