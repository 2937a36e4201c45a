package gearman

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Certificates are the paths of the PEM files of the front's TLS configuration.
type Certificates struct {
	Certificate, Key string
	Clients          string // CA certificates; if set, clients need a certificate signed by one
}

// TLS is a TLS configuration whose certificates can be reloaded while the listener uses it. Call
// Read before the first connection. It is safe for concurrent use.
type TLS struct{ current atomic.Pointer[tls.Config] }

// Read loads the certificates; connections accepted from then on use them. If it returns an error,
// the certificates loaded before stay in use.
func (t *TLS) Read(files Certificates) error {
	pair, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return errors.Wrap(err, "gearman: load the server certificate")
	}
	c := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{pair}}
	if files.Clients != "" {
		pem, err := os.ReadFile(files.Clients)
		if err != nil {
			return errors.Wrap(err, "gearman: read the client CA certificates")
		}
		c.ClientCAs, c.ClientAuth = x509.NewCertPool(), tls.RequireAndVerifyClientCert
		if !c.ClientCAs.AppendCertsFromPEM(pem) {
			return errors.Newf("gearman: no client CA certificate in %s", files.Clients)
		}
	}
	t.current.Store(c)
	return nil
}

// Config returns the configuration for a listener. Each handshake uses the certificates that Read
// loaded last.
func (t *TLS) Config() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return t.current.Load(), nil }}
}
