package credentials

import (
	"crypto/tls"
	"crypto/x509"
	"net"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"
)

// TLS holds the certificate of a node and the certificate authority of all nodes. It follows changes of their files.
// Open connections keep the certificates that they started with. A nil *TLS leaves listeners unencrypted.
type TLS struct {
	material *reloader[*material]
}

// material is the content of the certificate files.
type material struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// NewTLS reads a certificate, its key and the certificate authority from PEM files. If all paths are empty it returns
// nil. Errors: trace.BadParameter if only some paths are given or a file is invalid.
func NewTLS(certificatePath, keyPath, authorityPath string, log *logrus.Entry) (*TLS, error) {
	if certificatePath == "" && keyPath == "" && authorityPath == "" {
		return nil, nil
	}
	if certificatePath == "" || keyPath == "" || authorityPath == "" {
		return nil, trace.BadParameter("tls-cert, tls-key and tls-ca belong together: give all three or none")
	}
	loaded, err := newReloader(log, func() (*material, error) {
		return readMaterial(certificatePath, keyPath, authorityPath)
	}, certificatePath, keyPath, authorityPath)
	if err != nil {
		return nil, err
	}
	return &TLS{material: loaded}, nil
}

func readMaterial(certificatePath, keyPath, authorityPath string) (*material, error) {
	certificate, err := tls.LoadX509KeyPair(certificatePath, keyPath)
	if err != nil {
		return nil, trace.BadParameter("certificate %s with key %s: %v", certificatePath, keyPath, err)
	}
	content, err := readFile(authorityPath)
	if err != nil {
		return nil, err
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(content) {
		return nil, trace.BadParameter("authority %s holds no certificate in PEM form", authorityPath)
	}
	return &material{certificate: certificate, authority: authority}, nil
}

// Listen returns a listener that accepts only connections of nodes with a certificate of the authority. A nil *TLS
// returns listener unchanged.
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

// client wraps a connection to another node in TLS. The certificate of that node must be issued by the authority and
// contain the IP address that was dialed.
func (t *TLS) client(conn net.Conn) net.Conn {
	current := t.material.get()
	name, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		name = conn.RemoteAddr().String()
	}
	return tls.Client(conn, &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{current.certificate},
		RootCAs: current.authority, ServerName: name})
}
