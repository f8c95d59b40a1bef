package credentials

import (
	"crypto/tls"
	"crypto/x509"
	"net"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"
)

// TLS is a node's certificate and the authority that all nodes' certificates come from. It follows changes
// of the files; connections that are open keep what they began with.
type TLS struct {
	material *watched[*material]
}

type material struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// NewTLS reads certificate, key and authority, all PEM. With no path at all it returns nil.
func NewTLS(certificatePath, keyPath, authorityPath string, log *logrus.Entry) (*TLS, error) {
	if certificatePath == "" && keyPath == "" && authorityPath == "" {
		return nil, nil
	}
	if certificatePath == "" || keyPath == "" || authorityPath == "" {
		return nil, trace.BadParameter("tls-cert, tls-key and tls-ca belong together: give all three or none")
	}
	found, err := newWatched(log, func() (*material, error) {
		return readMaterial(certificatePath, keyPath, authorityPath)
	}, certificatePath, keyPath, authorityPath)
	if err != nil {
		return nil, err
	}
	return &TLS{material: found}, nil
}

func readMaterial(certificatePath, keyPath, authorityPath string) (*material, error) {
	certificate, err := tls.LoadX509KeyPair(certificatePath, keyPath)
	if err != nil {
		return nil, trace.BadParameter("certificate %s with key %s: %v", certificatePath, keyPath, err)
	}
	content, err := read(authorityPath)
	if err != nil {
		return nil, err
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(content) {
		return nil, trace.BadParameter("authority %s holds no certificate in PEM form", authorityPath)
	}
	return &material{certificate: certificate, authority: authority}, nil
}

// Listen returns a listener that takes connections of nodes with a certificate of the authority only. A
// nil *TLS returns the listener as it is.
func (t *TLS) Listen(listener net.Listener) net.Listener {
	if t == nil {
		return listener
	}
	return tls.NewListener(listener, &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			current := t.material.get()
			return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{current.certificate},
				ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: current.authority, SessionTicketsDisabled: true}, nil
		},
	})
}

// client wraps a connection to another node, whose certificate must be of the authority and name the IP
// number that was dialed.
func (t *TLS) client(conn net.Conn) net.Conn {
	current := t.material.get()
	name, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		name = conn.RemoteAddr().String()
	}
	return tls.Client(conn, &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{current.certificate},
		RootCAs: current.authority, ServerName: name})
}
