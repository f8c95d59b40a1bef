package cli

import (
	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/metrics"
)

// adminOptions are the flags of the admin listener, which every long-running role has.
type adminOptions struct {
	AdminListen string `long:"admin-listen" value-name:"IP:PORT" description:"Address for metrics, health, readiness and profiles; none if empty"`
}

// open starts the admin listener. It returns nil if none is configured.
func (o adminOptions) open(role, name string, authentication roleCredentials, log *logrus.Entry) (*metrics.Admin, error) {
	if o.AdminListen == "" {
		return nil, nil
	}
	admin, err := metrics.Open(metrics.Config{Listen: o.AdminListen, Role: role, Name: name, Guard: authentication.guard, Log: log})
	if err != nil {
		return nil, &ExitError{Code: ExitUsage, Message: trace.UserMessage(err)}
	}
	log.Infof("metrics, health and profiles on %s", admin.Address())
	return admin, nil
}

// setAdminProcess makes the admin listener, if there is one, serve the health and metrics of an open server.
func setAdminProcess(admin *metrics.Admin, process metrics.Process) error {
	if admin == nil {
		return nil
	}
	return admin.SetProcess(process)
}

// closeAdmin closes the admin listener, if there is one.
func closeAdmin(admin *metrics.Admin) {
	if admin != nil {
		_ = admin.Close()
	}
}
