package reload

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// writePair writes a new certificate with the given serial number.
func writePair(t *testing.T, certFile, keyFile string, serial int64) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(certFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	require.NoError(t, os.WriteFile(keyFile, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: encoded}), 0o600))
}

func serialOf(t *testing.T, c *Certificate) int64 {
	t.Helper()
	pair, err := c.Config().GetCertificate(nil)
	require.NoError(t, err)
	return pair.Leaf.SerialNumber.Int64()
}

// Guards against failing connections after the renewal of a certificate: a check between the
// writes of the certificate and the key must keep the previous pair, and the next check must
// load the new pair.
func TestHalfWrittenCertificateKeepsPreviousCertificate(t *testing.T) {
	dir := t.TempDir()
	certFile, keyFile := filepath.Join(dir, "cert"), filepath.Join(dir, "key")
	writePair(t, certFile, keyFile, 1)
	c, err := NewCertificate(certFile, keyFile)
	require.NoError(t, err)
	changed, err := c.Check()
	require.NoError(t, err)
	require.False(t, changed)

	oldKey, err := os.ReadFile(keyFile)
	require.NoError(t, err)
	writePair(t, certFile, keyFile, 2)
	newKey, err := os.ReadFile(keyFile)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(keyFile, oldKey, 0o600))
	_, err = c.Check()
	require.ErrorContains(t, err, certFile)
	require.EqualValues(t, 1, serialOf(t, c))
	_, err = c.Check()
	require.NoError(t, err, "one change is logged once")

	require.NoError(t, os.WriteFile(keyFile, newKey, 0o600))
	changed, err = c.Check()
	require.NoError(t, err)
	require.True(t, changed)
	require.EqualValues(t, 2, serialOf(t, c))
}

func TestFirstLoadMustSucceed(t *testing.T) {
	_, err := NewCertificate(filepath.Join(t.TempDir(), "none"), "none")
	require.ErrorContains(t, err, "none")
}
