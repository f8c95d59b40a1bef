package cli

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/coordinator"
	"github.com/tamarindring/tamarindring/internal/engine"
	"github.com/tamarindring/tamarindring/internal/gateway"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/operator"
	enginestandin "github.com/tamarindring/tamarindring/internal/standin/engine"
	"github.com/tamarindring/tamarindring/internal/standin/trainer"
)

// runServer runs a server until the test ends.
func runServer(t *testing.T, server interface {
	Run(context.Context) error
	Close() error
}) {
	t.Helper()
	var running sync.WaitGroup
	running.Go(func() { _ = server.Run(context.Background()) })
	t.Cleanup(func() {
		_ = server.Close()
		running.Wait()
	})
}

// TestStatusTellsATrainersIdleTimeAndStaleness: the samples, idle time and staleness that status prints must agree
// with the trainer's own counters, although some replies to it are lost.
func TestStatusTellsATrainersIdleTimeAndStaleness(t *testing.T) {
	address := startControl(t)
	t.Setenv("XDG_STATE_HOME", t.TempDir())
	t.Setenv("TAMARINDRING_OPERATOR", "ann")
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	parameters := engine.DefaultParameters()
	parameters.StepBase = 2 * time.Millisecond
	replica, err := enginestandin.New(enginestandin.Config{Name: "engine-1", Listen: "127.0.0.1:0", Parameters: parameters,
		InitialVersion: "v0", Log: logging.Discard()})
	if err != nil {
		t.Fatal(err)
	}
	runServer(t, replica)
	sheet := filepath.Join(t.TempDir(), "sheet.csv")
	rows := "row,kind,service,pool,address\ncopy,pool,engine,,\nengine-1,backend,,copy," + replica.Address() + "\n"
	if err := os.WriteFile(sheet, []byte(rows), 0o600); err != nil {
		t.Fatal(err)
	}
	mustRun(t, address, "table", "apply", sheet)
	access := controlclient.Config{Addresses: []string{address}}
	gatewayServer, err := gateway.Open(ctx, gateway.Config{Name: "gateway-1", Listen: "127.0.0.1:0"}, access)
	if err != nil {
		t.Fatal(err)
	}
	runServer(t, gatewayServer)
	coordinatorServer, err := coordinator.Open(ctx, coordinator.Config{Name: "coordinator-1", Listen: "127.0.0.1:0", Control: access, Log: logging.Discard()})
	if err != nil {
		t.Fatal(err)
	}
	runServer(t, coordinatorServer)
	if printed := mustRun(t, address, "status"); strings.Contains(printed, "staleness") {
		t.Errorf("status shows trainers before there is one:\n%s", printed)
	}
	config := trainer.Config{Name: "wording", Coordinators: []string{coordinatorServer.Address()}, Pool: "copy", PromptsPerStep: 4, SamplesPerPrompt: 2,
		MaxTokens: 30, MaxSteps: 3, StepsAhead: 1, TrainTime: 20 * time.Millisecond, FetchWait: 200 * time.Millisecond,
		LoseReplyProbability: 0.3, Seed: 1, Log: logging.Discard()}
	simulatedTrainer, err := trainer.New(config)
	if err != nil {
		t.Fatal(err)
	}
	if err := simulatedTrainer.Run(ctx); err != nil {
		t.Fatal(err)
	}
	var status operator.Status
	if err := json.Unmarshal([]byte(mustRun(t, address, "status", "--format", "json")), &status); err != nil {
		t.Fatal(err)
	}
	if status.Fleet == nil || len(status.Fleet.Trainers) != 1 {
		t.Fatalf("fleet %+v, want one trainer", status.Fleet)
	}
	reported, own := status.Fleet.Trainers[0], simulatedTrainer.Stats()
	if reported.Trainer != "wording" || reported.Coordinator != "coordinator-1" || reported.Samples != uint64(own.Samples) || own.Samples != 24 ||
		reported.StalenessMean != own.StalenessMean || reported.StalenessMax != uint64(own.StalenessMax) || reported.StalenessP99 != uint64(own.StalenessP99) {
		t.Errorf("got status %+v, want the trainer's own counters %+v", reported, own)
	}
	if reported.WaitedSeconds <= 0 || reported.WaitedSeconds > reported.ObservedSeconds || reported.Waiting {
		t.Errorf("got %+v, want some waiting within the observed time and no open fetch", reported)
	}
	printed := mustRun(t, address, "status")
	if !strings.Contains(printed, "trainer  coordinator    idle") || !strings.Contains(printed, "wording  coordinator-1") {
		t.Errorf("the output of status lacks the trainer:\n%s", printed)
	}
}
