package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/fault"
)

// authority is a certificate authority for tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"},
		NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	encoded, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	certificate, err := x509.ParseCertificate(encoded)
	require.NoError(t, err)
	return &authority{certificate: certificate, key: key}
}

// issue writes a node's certificate and key, and the trusted authorities, to directory.
func (a *authority) issue(t *testing.T, directory string, trusted ...*authority) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "node"}, NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	encoded, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	require.NoError(t, err)
	encodedKey, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(t, err)
	var authorities []byte
	for _, authority := range trusted {
		authorities = append(authorities, pemBlock("CERTIFICATE", authority.certificate.Raw)...)
	}
	for name, content := range map[string][]byte{
		"cert.pem": pemBlock("CERTIFICATE", encoded), "key.pem": pemBlock("PRIVATE KEY", encodedKey), "authority.pem": authorities,
	} {
		require.NoError(t, os.WriteFile(filepath.Join(directory, name), content, 0o600))
	}
}

func pemBlock(kind string, content []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: content})
}

func loadTLS(t *testing.T, directory string) *TLS {
	loaded, err := LoadTLS(filepath.Join(directory, "cert.pem"), filepath.Join(directory, "key.pem"), filepath.Join(directory, "authority.pem"))
	require.NoError(t, err)
	return loaded
}

func echoOver(t *testing.T, options Options, address Address) error {
	_, err := Invoke[reply](t.Context(), newClient(t, options), address, "echo", question{Text: "x"})
	return err
}

// TestTLSAdmitsOnlyVerifiedNodes: nodes without a certificate of a trusted authority must be rejected, as
// clients and as servers.
func TestTLSAdmitsOnlyVerifiedNodes(t *testing.T) {
	own, foreign := newAuthority(t), newAuthority(t)
	trusted, untrusted := t.TempDir(), t.TempDir()
	own.issue(t, trusted, own)
	foreign.issue(t, untrusted, own, foreign)
	options := Options{TLS: loadTLS(t, trusted)}
	address := startServer(t, options, echoMux())

	assert.NoError(t, echoOver(t, options, address))
	assert.Equal(t, fault.Unavailable, fault.CodeOf(echoOver(t, Options{TLS: loadTLS(t, untrusted)}, address)), "a foreign certificate")
	assert.Error(t, echoOver(t, Options{}, address), "no TLS at all")

	bare, err := tls.Dial("tcp", string(address), &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"h2"}})
	if err == nil { // with TLS 1.3 the client sees the rejection when it reads
		defer bare.Close()
		_, err = bare.Read(make([]byte, 1))
	}
	assert.ErrorContains(t, err, "certificate required")

	impostor := startServer(t, Options{TLS: loadTLS(t, untrusted)}, echoMux())
	err = echoOver(t, options, impostor)
	assert.Equal(t, fault.RanNo, fault.From(err).Ran, "an untrusted server receives no request")
}

// TestTLSWithKeysRequiresBoth: a verified certificate must not replace the key.
func TestTLSWithKeysRequiresBoth(t *testing.T) {
	own := newAuthority(t)
	directory := t.TempDir()
	own.issue(t, directory, own)
	verified := loadTLS(t, directory)
	address := startServer(t, Options{TLS: verified, Keys: NewKeys("secret")}, echoMux())
	assert.NoError(t, echoOver(t, Options{TLS: verified, Keys: NewKeys("secret")}, address))
	assert.Equal(t, fault.Unauthorized, fault.CodeOf(echoOver(t, Options{TLS: verified}, address)))
}

// TestTLSRotatesAuthorityWithoutRestart: changed files must be reloaded, and unreadable ones must not
// replace the certificates in use.
func TestTLSRotatesAuthorityWithoutRestart(t *testing.T) {
	old, replacement := newAuthority(t), newAuthority(t)
	server, client := t.TempDir(), t.TempDir()
	old.issue(t, server, old)
	replacement.issue(t, client, old, replacement)
	registry := prometheus.NewRegistry()
	serving := Options{TLS: loadTLS(t, server), Registerer: registry}
	address := startServer(t, serving, echoMux())
	calling := Options{TLS: loadTLS(t, client)}
	require.Error(t, echoOver(t, calling, address), "the new authority is not trusted yet")

	old.issue(t, server, old, replacement)
	forceReload(t, serving.TLS, server)
	assert.NoError(t, echoOver(t, calling, address))

	require.NoError(t, os.WriteFile(filepath.Join(server, "cert.pem"), []byte("spoilt"), 0o600))
	forceReload(t, serving.TLS, server)
	assert.NoError(t, echoOver(t, calling, address), "the last valid files stay in use")
	assert.Error(t, serving.TLS.Failure())
	families, err := registry.Gather()
	require.NoError(t, err)
	shown := map[string]float64{}
	for _, family := range families {
		shown[family.GetName()] = family.GetMetric()[0].GetGauge().GetValue()
	}
	assert.EqualValues(t, 1, shown["cloverwheel_peer_certificate_reload_failed"])
	assert.Greater(t, shown["cloverwheel_peer_certificate_expiry_timestamp_seconds"], float64(time.Now().Unix()))

	_, err = LoadTLS(filepath.Join(server, "cert.pem"), filepath.Join(server, "key.pem"), filepath.Join(server, "authority.pem"))
	assert.Equal(t, fault.Invalid, fault.CodeOf(err))
}

// forceReload changes the modification time of a file and lets the reload interval elapse.
func forceReload(t *testing.T, loaded *TLS, directory string) {
	changed := time.Now().Add(time.Minute)
	require.NoError(t, os.Chtimes(filepath.Join(directory, "cert.pem"), changed, changed))
	loaded.mutex.Lock()
	defer loaded.mutex.Unlock()
	loaded.checked = time.Time{}
}
