package fleet

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/servertest"
)

const (
	readyPause   = 20 * time.Millisecond
	requestLimit = time.Second
	daemonLimit  = 30 * time.Second
)

// buildBinary builds the program under test.
func buildBinary(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "tamarindring")
	output, err := exec.Command("go", "build", "-o", path, "github.com/tamarindring/tamarindring/cmd/tamarindring").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	return path
}

// freeAddress returns an address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// daemon is a process of the built binary.
type daemon struct {
	t         *testing.T
	name      string
	binary    string
	arguments []string
	address   string
	ready     func(context.Context, *daemon) error
	output    servertest.Output

	command *exec.Cmd
	ended   chan error
}

// start runs the process and waits until it is ready.
func (d *daemon) start() {
	d.t.Helper()
	d.command = exec.Command(d.binary, d.arguments...)
	d.command.Stdout, d.command.Stderr = &d.output, &d.output
	if err := d.command.Start(); err != nil {
		d.t.Fatal(err)
	}
	d.ended = make(chan error, 1)
	go func(command *exec.Cmd, ended chan<- error) { ended <- command.Wait() }(d.command, d.ended)
	ctx, cancel := context.WithTimeout(context.Background(), daemonLimit)
	defer cancel()
	for {
		err := d.ready(ctx, d)
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
			d.t.Fatalf("%s is not ready: %v\n%s", d.name, err, d.output.String())
		case ended := <-d.ended:
			d.command = nil
			d.t.Fatalf("%s ended: %v\n%s", d.name, ended, d.output.String())
		case <-time.After(readyPause):
		}
	}
}

func (d *daemon) signal(signal syscall.Signal) {
	d.t.Helper()
	if err := d.command.Process.Signal(signal); err != nil {
		d.t.Fatal(err)
	}
}

// kill ends the process with SIGKILL.
func (d *daemon) kill() {
	if d.command == nil {
		return
	}
	_ = d.command.Process.Kill()
	<-d.ended
	d.command = nil
}

// drain ends the process with SIGTERM. It must exit by itself without an error.
func (d *daemon) drain() {
	d.t.Helper()
	d.signal(syscall.SIGTERM)
	select {
	case err := <-d.ended:
		d.command = nil
		if err != nil {
			d.t.Errorf("%s stopped with %v\n%s", d.name, err, d.output.String())
		}
	case <-time.After(daemonLimit):
		d.kill()
		d.t.Errorf("%s did not stop\n%s", d.name, d.output.String())
	}
}

// readyAt returns a readiness check that requires status 200 for a path.
func readyAt(path string) func(context.Context, *daemon) error {
	return func(ctx context.Context, d *daemon) error {
		_, err := get(ctx, "http://"+d.address+path)
		return err
	}
}

var errNotOK = errors.New("the answer is not 200")

// get fetches a page over a new connection.
func get(ctx context.Context, address string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, requestLimit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, err
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var content bytes.Buffer
	if _, err := content.ReadFrom(response.Body); err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, errNotOK
	}
	return content.Bytes(), nil
}
