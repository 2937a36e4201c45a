package gearman

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Certificates are the files of the front's TLS configuration, all in PEM.
type Certificates struct {
	Certificate, Key string
	Clients          string // authorities of client certificates, which are required then; empty for none
}

// TLS is a TLS configuration whose certificates can be reloaded while it is in use. It is safe for
// concurrent use.
type TLS struct{ current atomic.Pointer[tls.Config] }

// Read reads the files. After an error the certificates that were read before stay in use.
func (t *TLS) Read(files Certificates) error {
	pair, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return errors.Wrap(err, "gearman: certificate")
	}
	c := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{pair}}
	if files.Clients != "" {
		text, err := os.ReadFile(files.Clients)
		if err != nil {
			return errors.Wrap(err, "gearman: client certificates")
		}
		c.ClientCAs, c.ClientAuth = x509.NewCertPool(), tls.RequireAndVerifyClientCert
		if !c.ClientCAs.AppendCertsFromPEM(text) {
			return errors.Newf("gearman: client certificates: %s holds none", files.Clients)
		}
	}
	t.current.Store(c)
	return nil
}

// Config returns the configuration of a listener; it uses the certificates that were read last.
func (t *TLS) Config() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return t.current.Load(), nil }}
}
