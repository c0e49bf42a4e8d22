package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cloverwheel/cloverwheel/internal/fault"
)

// reloadInterval is how often the certificate files are checked for changes.
const reloadInterval = 5 * time.Second

// TLS holds this node's certificate and the certificate authorities that it
// trusts. Changed files are reloaded, so certificates can be rotated without a
// restart. While the authority is being replaced, the file should contain both the
// old and the new one.
type TLS struct {
	certificateFile string
	keyFile         string
	authorityFile   string

	mutex       sync.Mutex
	checked     time.Time
	changed     [3]time.Time
	certificate *tls.Certificate
	authorities *x509.CertPool
	failure     error
}

// LoadTLS reads three PEM files: this node's certificate, its key, and the
// authorities that must have issued other nodes' certificates. Its error is a
// fault.Invalid.
func LoadTLS(certificateFile, keyFile, authorityFile string) (*TLS, error) {
	t := &TLS{certificateFile: certificateFile, keyFile: keyFile, authorityFile: authorityFile}
	if err := t.reload(); err != nil {
		return nil, fault.Newf(fault.Invalid, "give readable PEM files for certificate, key and authority", "TLS files: %v", err)
	}
	return t, nil
}

// Failure returns the error of the last reload, or nil if it succeeded. After a
// failed reload the previous certificates stay in use.
func (t *TLS) Failure() error {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.failure
}

// current returns the certificate and authorities, and reloads them if files changed.
func (t *TLS) current() (*tls.Certificate, *x509.CertPool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if time.Since(t.checked) >= reloadInterval {
		t.failure = t.reload()
	}
	return t.certificate, t.authorities
}

// reload reads the files if one of them changed since the last successful load.
func (t *TLS) reload() error {
	t.checked = time.Now()
	var changed [3]time.Time
	for i, file := range []string{t.certificateFile, t.keyFile, t.authorityFile} {
		info, err := os.Stat(file)
		if err != nil {
			return eris.Wrap(err, "stat TLS file")
		}
		changed[i] = info.ModTime()
	}
	if t.certificate != nil && changed == t.changed {
		return nil
	}
	certificate, err := tls.LoadX509KeyPair(t.certificateFile, t.keyFile)
	if err != nil {
		return eris.Wrap(err, "read certificate")
	}
	pem, err := os.ReadFile(t.authorityFile)
	if err != nil {
		return eris.Wrap(err, "read authorities")
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pem) {
		return eris.Errorf("no certificate in %s", t.authorityFile)
	}
	t.certificate, t.authorities, t.changed = &certificate, authorities, changed
	return nil
}

// serverConfig requires and verifies a client certificate on each connection.
func (t *TLS) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			certificate, authorities := t.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   []string{"h2"},
				Certificates: []tls.Certificate{*certificate},
				ClientCAs:    authorities,
				ClientAuth:   tls.RequireAndVerifyClientCert,
			}, nil
		},
	}
}

// clientConfig presents this node's certificate and verifies the server's against
// the current authorities. Nodes are addressed by IP, so the certificate must be
// issued by a trusted authority but need not name the address.
func (t *TLS) clientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2"},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			certificate, _ := t.current()
			return certificate, nil
		},
		InsecureSkipVerify: true, // VerifyConnection below checks the chain
		VerifyConnection:   t.verifyServer,
	}
}

func (t *TLS) verifyServer(state tls.ConnectionState) error {
	_, authorities := t.current()
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         authorities,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return err
}
