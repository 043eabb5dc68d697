package reload

import (
	"crypto/tls"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Certificate is a TLS certificate that can be replaced while a server uses it.
type Certificate struct {
	*Files
	pair atomic.Pointer[tls.Certificate]
}

// NewCertificate loads a certificate and its private key from PEM files.
func NewCertificate(certFile, keyFile string) (*Certificate, error) {
	c := &Certificate{}
	load := func() error {
		pair, err := tls.LoadX509KeyPair(certFile, keyFile)
		if err != nil {
			return errors.Wrapf(err, "certificate %s with key %s", certFile, keyFile)
		}
		c.pair.Store(&pair)
		return nil
	}
	files, err := New(load, certFile, keyFile)
	c.Files = files
	return c, err
}

// Config returns a server configuration that uses the certificate loaded last for each new
// connection.
func (c *Certificate) Config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return c.pair.Load(), nil
		},
	}
}
