package cli

import (
	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/metrics"
)

// adminOptions are the flags of the operators' listener, which every long-running role has.
type adminOptions struct {
	AdminListen string `long:"admin-listen" value-name:"IP:PORT" description:"Address for metrics, health, readiness and profiles; none if empty"`
}

// open starts the operators' listener, or returns nil when none is wanted.
func (o adminOptions) open(role, name string, opened roleCredentials, log *logrus.Entry) (*metrics.Admin, error) {
	if o.AdminListen == "" {
		return nil, nil
	}
	admin, err := metrics.Open(metrics.Config{Listen: o.AdminListen, Role: role, Name: name, Guard: opened.guard, Log: log})
	if err != nil {
		return nil, &ExitError{Code: ExitUsage, Message: trace.UserMessage(err)}
	}
	log.Infof("metrics, health and profiles on %s", admin.Address())
	return admin, nil
}

// showAdmin makes the operators' listener, if there is one, speak for a server that is open.
func showAdmin(admin *metrics.Admin, process metrics.Process) error {
	if admin == nil {
		return nil
	}
	return admin.Show(process)
}

// closeAdmin ends the operators' listener, if there is one.
func closeAdmin(admin *metrics.Admin) {
	if admin != nil {
		_ = admin.Close()
	}
}
