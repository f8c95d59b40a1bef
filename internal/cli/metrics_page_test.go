package cli

import (
	"context"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/tamarindring/tamarindring/internal/batchrun"
	"github.com/tamarindring/tamarindring/internal/bytebudget"
	"github.com/tamarindring/tamarindring/internal/configure"
	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/coordinator"
	"github.com/tamarindring/tamarindring/internal/executor"
	"github.com/tamarindring/tamarindring/internal/forward"
	"github.com/tamarindring/tamarindring/internal/gateway"
	"github.com/tamarindring/tamarindring/internal/metering"
	"github.com/tamarindring/tamarindring/internal/metrics"
	"github.com/tamarindring/tamarindring/internal/poisonguard"
	"github.com/tamarindring/tamarindring/internal/recovery"
	"github.com/tamarindring/tamarindring/internal/registry"
	"github.com/tamarindring/tamarindring/internal/replica"
	"github.com/tamarindring/tamarindring/internal/sendbuffer"
	"github.com/tamarindring/tamarindring/internal/strictyaml"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/weights"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// startGateway runs a gateway under the control node at address.
func startGateway(t *testing.T, address string) *gateway.Server {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	server, err := gateway.Open(ctx, gateway.Config{Name: "g1", Listen: "127.0.0.1:0"},
		controlclient.Config{Addresses: []string{address}})
	if err != nil {
		t.Fatal(err)
	}
	finished := make(chan error, 1)
	go func() { finished <- server.Run(context.Background()) }()
	t.Cleanup(func() {
		_ = server.Close()
		<-finished
	})
	return server
}

// startCoordinator runs a coordinator under the control node at address.
func startCoordinator(t *testing.T, address string) *coordinator.Server {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	server, err := coordinator.Open(ctx, coordinator.Config{Name: "c1", Listen: "127.0.0.1:0",
		Control: controlclient.Config{Addresses: []string{address}}})
	if err != nil {
		t.Fatal(err)
	}
	finished := make(chan error, 1)
	go func() { finished <- server.Run(context.Background()) }()
	t.Cleanup(func() {
		_ = server.Close()
		<-finished
	})
	return server
}

// processMetrics are the metrics that package metrics itself exports for every process.
var processMetrics = []string{"tamarindring_build_info", "tamarindring_ready"}

// exportedMetrics returns the names of all metrics that the roles describe.
func exportedMetrics(t *testing.T) map[string]bool {
	t.Helper()
	control := startControlServer(t)
	names := map[string]bool{}
	for _, name := range processMetrics {
		names[name] = true
	}
	for _, process := range []metrics.Process{control, startGateway(t, control.Address()), startCoordinator(t, control.Address())} {
		for name := range describedMetrics(process.Collector()) {
			names[name] = true
		}
	}
	outgoing := replica.NewClient(replica.Options{})
	forwarder, err := forward.New(forward.Config{Control: noLease{}, Caller: outgoing})
	if err != nil {
		t.Fatal(err)
	}
	runner, err := batchrun.New(batchrun.Config{Group: control.LedgerGroup(1), Session: noSession{}, Caller: replica.NewClient(replica.Options{})})
	if err != nil {
		t.Fatal(err)
	}
	driver, err := weights.NewDriver(weights.Config{Control: noControl{}, Sender: noSender{}, View: func() *table.View { return nil },
		IsLeader: func() bool { return false }, Owner: "o"})
	if err != nil {
		t.Fatal(err)
	}
	reporter, err := metering.NewReporter(metering.ReporterConfig{Control: noControl{}, Sender: noReceiver{}, Right: driver.OrderToken, Length: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	replicas, err := registry.New(registry.Config{Control: noRegistryControl{}, View: func() *table.View { return nil },
		Leading: func() bool { return false }, Heartbeat: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	guard, err := poisonguard.New(poisonguard.Config{Control: noRegistryControl{}})
	if err != nil {
		t.Fatal(err)
	}
	itemExecutor, err := executor.New(executor.Config{Caller: replica.NewClient(replica.Options{}), Admit: func(*wire.RunStart) bool { return false }})
	if err != nil {
		t.Fatal(err)
	}
	budget := bytebudget.New(bytebudget.LimitFor(0))
	callers := sendbuffer.NewSet(sendbuffer.Config{Budget: budget})
	for _, collector := range []prometheus.Collector{budget, callers.Collector(), guard.Collector(), forwarder.Process().Collector(), runner.Collector(), driver.Collector(), reporter.Collector(),
		replicas.Collector(), itemExecutor.Collector(), outgoing.Collector(), recovery.Collector()} {
		for name := range describedMetrics(collector) {
			names[name] = true
		}
	}
	return names
}

type noLease struct{}

func (noLease) Admit() (uint64, bool) { return 0, false }

type noControl struct{ weights.Control }

type noRegistryControl struct{ configure.Control }

type noSender struct{ weights.Sender }

type noReceiver struct{ metering.Sender }

type noSession struct{}

func (noSession) AdmitView() (*table.View, bool) { return nil, false }

var descName = regexp.MustCompile(`fqName: "([a-z_]+)"`)

// describedMetrics returns the names of the metrics that a collector describes.
func describedMetrics(collector prometheus.Collector) map[string]bool {
	descs := make(chan *prometheus.Desc)
	go func() {
		defer close(descs)
		collector.Describe(descs)
	}()
	names := map[string]bool{}
	for desc := range descs {
		names[descName.FindStringSubmatch(desc.String())[1]] = true
	}
	return names
}

func readPage(t *testing.T, name string) string {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(docsFolder, "operations", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(content)
}

var metricName = regexp.MustCompile(`tamarindring_[a-z_]+`)

// alertRules has the fields of a Prometheus rule file that ours uses.
type alertRules struct {
	Groups []struct {
		Name  string `yaml:"name"`
		Rules []struct {
			Alert  string `yaml:"alert"`
			Expr   string `yaml:"expr"`
			For    string `yaml:"for"`
			Labels struct {
				Severity string `yaml:"severity"`
			} `yaml:"labels"`
			Annotations struct {
				Summary     string `yaml:"summary"`
				Description string `yaml:"description"`
			} `yaml:"annotations"`
		} `yaml:"rules"`
	} `yaml:"groups"`
}

// Every alert must have all fields and use only metrics that a process exports. Otherwise it would never fire.
func TestAlertNamesAMetricThatNoProcessExports(t *testing.T) {
	exported := exportedMetrics(t)
	var rules alertRules
	if err := strictyaml.Decode("alerts.yml", []byte(readPage(t, "alerts.yml")), &rules); err != nil {
		t.Fatal(err)
	}
	seen := map[string]bool{}
	for _, group := range rules.Groups {
		for _, rule := range group.Rules {
			if seen[rule.Alert] || rule.For == "" || rule.Labels.Severity == "" || rule.Annotations.Summary == "" || rule.Annotations.Description == "" {
				t.Errorf("alert %q is defined twice or lacks a field", rule.Alert)
			}
			seen[rule.Alert] = true
			names := metricName.FindAllString(rule.Expr, -1)
			if len(names) == 0 {
				t.Errorf("alert %s uses no metric of this project", rule.Alert)
			}
			for _, name := range names {
				if !exported[name] && !exported[strings.TrimSuffix(name, "_bucket")] {
					t.Errorf("alert %s: no process exports %s", rule.Alert, name)
				}
			}
		}
	}
	if len(seen) == 0 {
		t.Fatal("no alert was examined")
	}
}

// The metrics page must list exactly the exported metrics.
func TestMetricsPageDiffersFromTheCode(t *testing.T) {
	exported := exportedMetrics(t)
	onPage := map[string]bool{}
	for _, match := range regexp.MustCompile("(?m)^\\| `(tamarindring_[a-z_]+)` \\|").FindAllStringSubmatch(readPage(t, "metrics.md"), -1) {
		onPage[match[1]] = true
	}
	for name := range exported {
		if !onPage[name] {
			t.Errorf("metrics.md does not list %s", name)
		}
	}
	for name := range onPage {
		if !exported[name] {
			t.Errorf("metrics.md lists %s, which no process exports", name)
		}
	}
}
