package credentials

import (
	"context"
	"net"
	"strings"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"
	"storj.io/drpc/drpcmetadata"
)

// Client is what a process shows to others: its token and its certificate. A nil *Client shows nothing.
type Client struct {
	token *watched[string] // nil without a token
	tls   *TLS             // nil without certificates
}

// NewClient reads a process's own token from a file, unless tokenPath is empty; tls may be nil. It returns
// nil when there is neither.
func NewClient(tokenPath string, tls *TLS, log *logrus.Entry) (*Client, error) {
	if tokenPath == "" && tls == nil {
		return nil, nil
	}
	client := &Client{tls: tls}
	if tokenPath == "" {
		return client, nil
	}
	var err error
	client.token, err = newWatched(log, func() (string, error) { return readToken(tokenPath) }, tokenPath)
	if err != nil {
		return nil, err
	}
	return client, nil
}

func readToken(path string) (string, error) {
	content, err := read(path)
	if err != nil {
		return "", err
	}
	token := strings.TrimSpace(string(content))
	if token == "" || strings.ContainsAny(token, " \t\r\n") {
		return "", trace.BadParameter("token file %s: want one token and nothing else", path)
	}
	return token, nil
}

// Context returns ctx with the token, for a drpc stream that is about to be opened.
func (c *Client) Context(ctx context.Context) context.Context {
	if c == nil || c.token == nil {
		return ctx
	}
	return drpcmetadata.Add(ctx, tokenKey, c.token.get())
}

// Authorization returns the value of the HTTP header, or "" without a token.
func (c *Client) Authorization() string {
	if c == nil || c.token == nil {
		return ""
	}
	return "Bearer " + c.token.get()
}

// Secure wraps a connection that was just opened to another node. Without certificates it is returned as
// it is; else the handshake happens with the first byte.
func (c *Client) Secure(conn net.Conn) net.Conn {
	if c == nil || c.tls == nil {
		return conn
	}
	return c.tls.client(conn)
}
