package cli

import (
	"net"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/credentials"
	"github.com/tamarindring/tamarindring/internal/logging"
)

// tokenOption is the flag of a process's own token.
type tokenOption struct {
	Token string `long:"token" value-name:"FILE" env:"TAMARINDRING_TOKEN" description:"File with this process's own token; none if empty"`
}

// authorization returns the header value for HTTP calls, or "" without a token.
func (o tokenOption) authorization() (string, error) {
	shown, err := credentials.NewClient(o.Token, nil, logging.Discard())
	if err != nil {
		return "", &ExitError{Code: ExitUsage, Message: trace.UserMessage(err)}
	}
	return shown.Authorization(), nil
}

// clientOptions are the flags by which a process shows who it is.
type clientOptions struct {
	tokenOption
	TLSCert string `long:"tls-cert" value-name:"FILE" env:"TAMARINDRING_TLS_CERT" description:"This process's certificate towards the control nodes, PEM; plain TCP if empty"`
	TLSKey  string `long:"tls-key" value-name:"FILE" env:"TAMARINDRING_TLS_KEY" description:"Key of the certificate, PEM"`
	TLSCA   string `long:"tls-ca" value-name:"FILE" env:"TAMARINDRING_TLS_CA" description:"Authority of all certificates, PEM"`
}

// shown returns what the flags ask to show, or nil, and the certificates alone.
func (o clientOptions) shown(log *logrus.Entry) (*credentials.Client, *credentials.TLS, error) {
	secure, err := credentials.NewTLS(o.TLSCert, o.TLSKey, o.TLSCA, log)
	if err != nil {
		return nil, nil, &ExitError{Code: ExitUsage, Message: trace.UserMessage(err)}
	}
	shown, err := credentials.NewClient(o.Token, secure, log)
	if err != nil {
		return nil, nil, &ExitError{Code: ExitUsage, Message: trace.UserMessage(err)}
	}
	return shown, secure, nil
}

// serverOptions are the flags of a role that also checks others' tokens.
type serverOptions struct {
	clientOptions
	Tokens string `long:"tokens" value-name:"FILE" description:"File of the tokens that are accepted, by hash; everybody is let in if empty"`
}

// roleCredentials are what a role proves itself and checks others with; the fields are nil for what is not configured.
type roleCredentials struct {
	guard  *credentials.Guard
	client *credentials.Client
	tls    *credentials.TLS
}

func (o serverOptions) roleCredentials(log *logrus.Entry) (roleCredentials, error) {
	client, secure, err := o.shown(log)
	if err != nil {
		return roleCredentials{}, err
	}
	opened := roleCredentials{client: client, tls: secure}
	if o.Tokens == "" {
		return opened, nil
	}
	opened.guard, err = credentials.NewGuard(o.Tokens, log)
	if err != nil {
		return roleCredentials{}, &ExitError{Code: ExitUsage, Message: trace.UserMessage(err)}
	}
	return opened, nil
}

// warnIfOpen logs a warning when a listener that others can reach asks for no tokens.
func (d roleCredentials) warnIfOpen(log *logrus.Entry, what, address string) {
	if bound, err := net.ResolveTCPAddr("tcp", address); err == nil {
		d.guard.WarnIfOpen(log, what, bound)
	}
}
