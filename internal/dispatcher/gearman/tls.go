package gearman

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync/atomic"
)

// Certificates are the files of the front's TLS; all are PEM.
type Certificates struct {
	Certificate, Key string
	Clients          string // authorities of clients' certificates, which are then asked for; empty for none
}

// TLS is a configuration whose certificates may be read anew while it serves.
type TLS struct{ now atomic.Pointer[tls.Config] }

// Read reads the files; after an error those read before stay in force.
func (t *TLS) Read(files Certificates) error {
	pair, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return fmt.Errorf("gearman: certificate: %w", err)
	}
	c := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{pair}}
	if files.Clients != "" {
		text, err := os.ReadFile(files.Clients)
		if err != nil {
			return fmt.Errorf("gearman: client certificates: %w", err)
		}
		c.ClientCAs, c.ClientAuth = x509.NewCertPool(), tls.RequireAndVerifyClientCert
		if !c.ClientCAs.AppendCertsFromPEM(text) {
			return fmt.Errorf("gearman: client certificates: %s holds none", files.Clients)
		}
	}
	t.now.Store(c)
	return nil
}

// Config returns what a listener serves by.
func (t *TLS) Config() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return t.now.Load(), nil }}
}
