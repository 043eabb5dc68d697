package reload

import (
	"crypto/tls"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Certificate is a TLS certificate that can be replaced while it is served.
type Certificate struct {
	*Files
	pair atomic.Pointer[tls.Certificate]
}

// NewCertificate loads a certificate and its private key, both in PEM.
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

// Config returns the server's configuration, which serves whatever was loaded last to
// each new connection.
func (c *Certificate) Config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return c.pair.Load(), nil
		},
	}
}
