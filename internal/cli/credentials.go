package cli

import (
	"net"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/credentials"
	"github.com/tamarindring/tamarindring/internal/logging"
)

// tokenOption is the flag for the process's own token.
type tokenOption struct {
	Token string `long:"token" value-name:"FILE" env:"TAMARINDRING_TOKEN" description:"File with this process's own token; none if empty"`
}

// authorization returns the value of the Authorization header for HTTP calls, empty without a token.
func (o tokenOption) authorization() (string, error) {
	client, err := credentials.NewClient(o.Token, nil, logging.Discard())
	if err != nil {
		return "", &ExitError{Code: ExitUsage, Message: trace.UserMessage(err)}
	}
	return client.Authorization(), nil
}

// clientOptions are the flags for the credentials that a process presents to others.
type clientOptions struct {
	tokenOption
	TLSCert string `long:"tls-cert" value-name:"FILE" env:"TAMARINDRING_TLS_CERT" description:"This process's certificate towards the control nodes, PEM; plain TCP if empty"`
	TLSKey  string `long:"tls-key" value-name:"FILE" env:"TAMARINDRING_TLS_KEY" description:"Key of the certificate, PEM"`
	TLSCA   string `long:"tls-ca" value-name:"FILE" env:"TAMARINDRING_TLS_CA" description:"Authority of all certificates, PEM"`
}

// openClientCredentials returns the credentials that the process presents, and its certificates alone. Either is nil
// if not configured.
func (o clientOptions) openClientCredentials(log *logrus.Entry) (*credentials.Client, *credentials.TLS, error) {
	certificates, err := credentials.NewTLS(o.TLSCert, o.TLSKey, o.TLSCA, log)
	if err != nil {
		return nil, nil, &ExitError{Code: ExitUsage, Message: trace.UserMessage(err)}
	}
	client, err := credentials.NewClient(o.Token, certificates, log)
	if err != nil {
		return nil, nil, &ExitError{Code: ExitUsage, Message: trace.UserMessage(err)}
	}
	return client, certificates, nil
}

// serverOptions are the flags of a role that also checks the tokens of others.
type serverOptions struct {
	clientOptions
	Tokens string `long:"tokens" value-name:"FILE" description:"File of the tokens that are accepted, by hash; everybody is let in if empty"`
}

// roleCredentials holds the credentials of a role and its check of others' tokens. Fields are nil if not configured.
type roleCredentials struct {
	guard  *credentials.Guard
	client *credentials.Client
	tls    *credentials.TLS
}

// openRoleCredentials reads the files that the flags name.
func (o serverOptions) openRoleCredentials(log *logrus.Entry) (roleCredentials, error) {
	client, certificates, err := o.openClientCredentials(log)
	if err != nil {
		return roleCredentials{}, err
	}
	authentication := roleCredentials{client: client, tls: certificates}
	if o.Tokens == "" {
		return authentication, nil
	}
	authentication.guard, err = credentials.NewGuard(o.Tokens, log)
	if err != nil {
		return roleCredentials{}, &ExitError{Code: ExitUsage, Message: trace.UserMessage(err)}
	}
	return authentication, nil
}

// warnIfOpen logs a warning if a listener can be reached from other machines and no tokens are required.
func (r roleCredentials) warnIfOpen(log *logrus.Entry, what, address string) {
	if bound, err := net.ResolveTCPAddr("tcp", address); err == nil {
		r.guard.WarnIfOpen(log, what, bound)
	}
}
