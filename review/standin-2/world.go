package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Ports, the same on all machines.
const (
	frontPort    = 8161
	controlPort  = 8166
	readyPort    = 8167
	internalPort = 7720
	lastPort     = 7735
	adminPort    = 9464
)

// Bounds of the deployment, as on the sheet of Vltava Push.
const (
	heartbeatTime   = 1200 * time.Millisecond
	contactTime     = 3 * time.Second
	configApplyTime = 2 * time.Second
	drainTime       = 2 * time.Second
	graceTime       = 8 * time.Second
	settleTime      = time.Second
	finishTime      = 10 * time.Second
)

// Names of the deployment.
const (
	modelService = "copy-llm"
	appService   = "push-gateway"
	modelName    = "daka510000"
	batchHost    = "train.example"
	appHost      = "shop.example"
	batchPrefix  = "/lots/"
	oncePrefix   = "/once/"
	keepPrefix   = "/keep/"
)

// machine is one machine with one process of the project.
type machine struct {
	name, role, class, zone string
	ip                      string
	bind                    string // address of the process behind its proxy; empty: no proxy
	process                 *exec.Cmd
	ended                   chan struct{}
}

// address returns the machine's address with a port.
func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// world is the deployment under test with everything around it.
type world struct {
	trouble  bool
	folder   string
	root     string // of the repository
	network  string // the first three octets of all addresses
	started  time.Time
	controls []*machine
	stores   []*machine
	gateways []*machine
	proxies  []*proxy

	startingReplicas sync.Mutex // guards replicas while some are started in the middle of a case
	replicas         []*replica

	recording sync.Mutex
	record    *os.File

	runs     runLog
	refusals atomic.Int64 // requests that replicas rejected as too large
}

// newWorld prepares a deployment with a temporary folder and a loopback network that is not in use.
func newWorld(record string, trouble bool) (*world, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	network, err := freeNetwork()
	if err != nil {
		return nil, errors.Join(err, os.RemoveAll(folder))
	}
	w := &world{trouble: trouble, folder: folder, root: root, network: network, started: time.Now(), record: file}
	w.note("trouble: %t", trouble)
	return w, nil
}

// freeNetwork returns the first three octets of a loopback network on which the needed ports are free.
func freeNetwork() (string, error) {
	for range 100 {
		network := fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250))
		listener, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", network, internalPort))
		if err == nil {
			return network, listener.Close()
		}
	}
	return "", errors.New("no free loopback network")
}

// note writes a line to the record.
func (w *world) note(format string, values ...any) {
	w.recording.Lock()
	defer w.recording.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, values...))
}

// zones are the zones of the deployment.
var zones = []string{"praha-hall-a", "praha-hall-b", "brno-hall"}

// addMachines adds a control node and a storage machine in each zone, as the deploy file places them, and gateways.
// proxied puts a proxy in front of the address at which control nodes and storage machines reach each other.
func (w *world) addMachines(gateways int, proxied bool) {
	number := 0
	add := func(role, class, zone string) *machine {
		number++
		made := &machine{name: fmt.Sprintf("%s-%s-%d", class, zone, number), role: role, class: class, zone: zone, ip: fmt.Sprintf("%s.%d", w.network, number)}
		if proxied && role != "gateway" {
			made.bind = fmt.Sprintf("%s.%d:%d", w.network, 100+number, internalPort)
			w.proxies = append(w.proxies, startProxy(made.address(internalPort), made.bind))
		}
		return made
	}
	for _, zone := range zones {
		w.controls = append(w.controls, add("control", "core", zone))
	}
	for _, zone := range zones {
		w.stores = append(w.stores, add("store", "storage", zone))
	}
	for position := range gateways {
		w.gateways = append(w.gateways, add("gateway", "edge", zones[position%len(zones)]))
	}
}

// machines returns all machines.
func (w *world) machines() []*machine {
	return append(append(append([]*machine(nil), w.controls...), w.stores...), w.gateways...)
}

// settings returns the settings file of a machine.
func (w *world) settings(m *machine, bootstrap bool) []byte {
	serves := map[string]string{"control": "control", "store": "storage", "gateway": "edge"}[m.role]
	listen := map[string]string{}
	switch m.role {
	case "control":
		listen["control"] = m.address(controlPort)
	case "gateway":
		listen["front"], listen["ready"] = m.address(frontPort), m.address(readyPort)
	}
	var seeds []string
	for _, one := range w.controls {
		seeds = append(seeds, one.address(controlPort))
	}
	content := map[string]any{
		"node": m.name, "role": m.role, "machine_class": m.class, "serves": []string{serves}, "ip": m.ip, "zone": m.zone, "region": "cz-central",
		"zones":  map[string]string{zones[0]: "cz-central", zones[1]: "cz-central", zones[2]: "cz-central"},
		"listen": listen, "port_range": []int{internalPort, lastPort}, "seeds": seeds, "bootstrap": bootstrap, "loss_counts": m.role != "gateway",
		"limits":   map[string]any{"cpu_share": 0.96, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "register", "entry": "vip", "heartbeat_ms": heartbeatTime.Milliseconds(),
		"contracts":       []string{"base", "drain", "config", "cost", "recover", "samples", "stream", "engine", "batch"},
		"fault_tolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": contactTime.Milliseconds(), "ack_ms": 4000, "catch_up_s": 5.2,
			"drain_ms": drainTime.Milliseconds(), "grace_s": graceTime.Seconds(), "lost_ms": 200, "config_apply_ms": configApplyTime.Milliseconds(),
			"rollback_slack_ms": 250, "outer_ms": 5000, "recovery_s": 12, "pass_ms": 120, "again_s": 0, "finish_s": finishTime.Seconds(), "status_s": 120,
			"cancel_ms": 3000, "settle_ms": settleTime.Milliseconds(), "quota_over": 0.1, "enforce_fencing": true, "lease_ms": 3000, "thaw_ms": 300},
		"config_mode": "highest",
	}
	if m.role != "gateway" {
		content["data_dir"] = w.dataFolder(m)
		content["limits"].(map[string]any)["disk_mb"] = 128
	}
	if m.bind != "" {
		content["bind"] = map[string]string{"internal": m.bind}
	}
	text, err := json.MarshalIndent(content, "", "  ")
	must(err)
	return text
}

func (w *world) dataFolder(m *machine) string { return filepath.Join(w.folder, m.name, "data") }

// start starts the process of a machine with the command of the deploy file.
func (w *world) start(m *machine, bootstrap bool) {
	folder := filepath.Join(w.folder, m.name)
	must(os.MkdirAll(w.dataFolder(m), 0o700))
	settings := filepath.Join(folder, "node.json")
	must(os.WriteFile(settings, w.settings(m, bootstrap), 0o600))
	output, err := os.OpenFile(filepath.Join(folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	command := exec.Command(filepath.Join(w.root, "target", "tamarindring"), "platform", m.role, "--admin-listen", m.address(adminPort))
	command.Dir = w.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + folder, "TAMARINDRING_CONFIG=" + settings}
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it ends with this program, however that ends
	must(command.Start())
	m.process, m.ended = command, make(chan struct{})
	go func(ended chan struct{}) {
		_ = command.Wait()
		_ = output.Close()
		close(ended)
	}(m.ended)
	w.note("%s starts (%s at %s)", m.name, m.role, m.ip)
}

// startAll starts all processes for the first time.
func (w *world) startAll() {
	for _, one := range w.machines() {
		w.start(one, true)
	}
}

// kill ends the process of a machine with SIGKILL and waits for its end.
func (w *world) kill(m *machine) {
	if m.process == nil {
		return
	}
	_ = m.process.Process.Signal(syscall.SIGCONT)
	_ = m.process.Process.Kill()
	<-m.ended
}

// signal sends a signal to the process of a machine.
func (w *world) signal(m *machine, what syscall.Signal) {
	w.note("%s gets %v", m.name, what)
	must(m.process.Process.Signal(what))
}

// hasEnded reports whether the process of a machine has ended.
func (m *machine) hasEnded() bool {
	select {
	case <-m.ended:
		return true
	default:
		return false
	}
}

// close ends everything that the world started.
func (w *world) close() {
	for _, one := range w.machines() {
		if one.process != nil && one.hasEnded() {
			w.note("%s has ended by itself", one.name)
		}
		w.kill(one)
	}
	for _, one := range w.replicas {
		one.close()
	}
	for _, one := range w.proxies {
		one.close()
	}
	if keep := os.Getenv("REVIEW_LOGS"); keep != "" {
		w.keepLogs(keep)
	}
	_ = os.RemoveAll(w.folder)
	_ = w.record.Close()
}

// keepLogs copies the logs of all processes to a folder.
func (w *world) keepLogs(to string) {
	_ = os.MkdirAll(to, 0o700)
	_ = filepath.WalkDir(w.folder, func(path string, entry fs.DirEntry, err error) error {
		if err == nil && entry.Name() == "log" {
			content, _ := os.ReadFile(path)
			_ = os.WriteFile(filepath.Join(to, filepath.Base(filepath.Dir(path))+".log"), content, 0o600)
		}
		return nil
	})
}

// waitFor waits until a condition holds. It panics, so that the case counts as not run, if that takes too long.
func (w *world) waitFor(what string, limit time.Duration, holds func() bool) {
	for until := time.Now().Add(limit); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(until) {
			panic("not met in time: " + what)
		}
	}
}

// must panics on an error, so that the case counts as not run.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

// short returns the beginning of a text for the record.
func short(text string) string {
	text = strings.ReplaceAll(text, "\n", " ")
	return text[:min(len(text), 120)]
}
