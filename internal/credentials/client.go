package credentials

import (
	"context"
	"net"
	"strings"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"
	"storj.io/drpc/drpcmetadata"
)

// Client holds the token and the certificate with which a process authenticates itself to others. A nil *Client has
// neither.
type Client struct {
	token *reloader[string] // nil without a token
	tls   *TLS              // nil without certificates
}

// NewClient returns a client with the token in the file tokenPath, unless that is empty, and with tls, which may be
// nil. With neither it returns nil. Errors: trace.BadParameter for a file that is unreadable or does not contain
// exactly one token.
func NewClient(tokenPath string, tls *TLS, log *logrus.Entry) (*Client, error) {
	if tokenPath == "" && tls == nil {
		return nil, nil
	}
	client := &Client{tls: tls}
	if tokenPath == "" {
		return client, nil
	}
	var err error
	client.token, err = newReloader(log, func() (string, error) { return readToken(tokenPath) }, tokenPath)
	if err != nil {
		return nil, err
	}
	return client, nil
}

// readToken returns the only token in a file. Surrounding white space is ignored.
func readToken(path string) (string, error) {
	content, err := readFile(path)
	if err != nil {
		return "", err
	}
	token := strings.TrimSpace(string(content))
	if token == "" || strings.ContainsAny(token, " \t\r\n") {
		return "", trace.BadParameter("token file %s: want one token and nothing else", path)
	}
	return token, nil
}

// Context returns ctx with the token added, for opening a drpc stream.
func (c *Client) Context(ctx context.Context) context.Context {
	if c == nil || c.token == nil {
		return ctx
	}
	return drpcmetadata.Add(ctx, tokenKey, c.token.get())
}

// Authorization returns the value of the HTTP Authorization header, or "" without a token.
func (c *Client) Authorization() string {
	if c == nil || c.token == nil {
		return ""
	}
	return "Bearer " + c.token.get()
}

// Secure wraps a newly opened connection to another node in TLS. The handshake happens at the first read or write.
// Without certificates the connection is returned unchanged.
func (c *Client) Secure(conn net.Conn) net.Conn {
	if c == nil || c.tls == nil {
		return conn
	}
	return c.tls.client(conn)
}
