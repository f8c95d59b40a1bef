package control

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/backup"
	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/storage"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// finishClaim claims a key and finishes the claim with an answer of 60,000 bytes.
func finishClaim(t *testing.T, client *controlclient.Client, key string) {
	t.Helper()
	startClaim(t, client, key, "owner")
	finish := &wire.Command{Kind: &wire.Command_ClaimFinish{ClaimFinish: &wire.ClaimFinish{Key: key, Attempt: "owner/" + key,
		Outcome: wire.ClaimState_CLAIM_STATE_DONE, Answer: &wire.Answer{Status: 200, Body: make([]byte, 60_000)}}}}
	result, err := client.Execute(testContext(t), client.ClaimGroup(key), finish)
	if err != nil || result.GetClaim().GetState() != wire.ClaimState_CLAIM_STATE_DONE {
		t.Fatalf("finishing the claim of %s: got %v (%v), want state DONE", key, result, err)
	}
}

// TestNodeWithoutAQuorumSendsNoBackup guards against backups of old state. A node that hears no leader may hold old
// state.
func TestNodeWithoutAQuorumSendsNoBackup(t *testing.T) {
	c := startCluster(t)
	client := c.client(controlclient.Config{})
	mustAccept(t, client, poolChange("base", 0, "7"), false)
	c.kill(c.leader())
	mustAccept(t, client, poolChange("base", 0, "7"), false) // resent: returns once another node leads
	c.kill(c.leader())
	ctx, cancel := context.WithTimeout(testContext(t), time.Second)
	defer cancel()
	if copied, err := client.Backup(ctx); err == nil {
		t.Errorf("a node without a quorum sent a backup of %d groups", len(copied.GetGroups()))
	}
}

// TestBackupOfRunningNodesIsRestored backs up a cluster while its table changes and restores the backup as another
// cluster. The restored node must hold everything committed before the backup, the table version and the finished keys,
// and must accept new changes.
func TestBackupOfRunningNodesIsRestored(t *testing.T) {
	const keys = 24 // more than one part of 512 KiB in each ledger group
	c := startCluster(t)
	client := c.client(controlclient.Config{})
	version, _ := mustAccept(t, client, poolChange("base", 0, "7"), false)
	for key := range keys {
		finishClaim(t, client, fmt.Sprint("before-", key))
	}
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for number := 0; ; number++ {
			select {
			case <-stop:
				return
			default:
				_, _, _ = client.ChangeTable(context.Background(), weightChange(fmt.Sprint("later-", number), version+uint64(number), fmt.Sprint(1+number%50)), false)
			}
		}
	}()
	copied, err := client.Backup(testContext(t))
	close(stop)
	<-stopped
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "backup")
	if err := backup.Write(path, copied); err != nil {
		t.Fatal(err)
	}
	restored := restoreNode(t, path)
	view, err := restored.Query(testContext(t), controlGroup, &wire.Query{Kind: &wire.Query_Table{Table: &wire.TableQuery{}}})
	if err != nil {
		t.Fatal(err)
	}
	found := view.GetTable().GetToVersion()
	if found < version {
		t.Fatalf("the restored table has version %d, want at least %d as before the backup", found, version)
	}
	for key := range keys {
		if state := claimState(t, restored, fmt.Sprint("before-", key)); state != wire.ClaimState_CLAIM_STATE_DONE {
			t.Errorf("restored key %d is %v, want DONE", key, state)
		}
	}
	if next, _ := mustAccept(t, restored, weightChange("after", found, "9"), false); next != found+1 {
		t.Errorf("the restored cluster's next version is %d, want %d", next, found+1)
	}
}

// restoreNode restores a backup file as a cluster of one node and returns a client of it.
func restoreNode(t *testing.T, path string) *controlclient.Client {
	t.Helper()
	copied, err := backup.Read(path)
	if err != nil {
		t.Fatal(err)
	}
	folder := filepath.Join(t.TempDir(), "node")
	options := storage.Options{Folder: folder, ClusterID: "test", NodeID: 9, NodeName: "restored"}
	if err := backup.Restore(copied, options); err == nil {
		t.Fatal("the restore accepted the id of the original cluster")
	}
	options.ClusterID = "restored"
	if err := backup.Restore(copied, options); err != nil {
		t.Fatal(err)
	}
	if err := backup.Restore(copied, options); err == nil {
		t.Fatal("the restore overwrote a data folder")
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	server, err := New(Config{Name: "restored", NodeID: 9, ClusterID: "restored", Listen: address, Listener: listener,
		Peers: []Peer{{ID: 9, Name: "restored", Address: address}}, DataFolder: folder, Tick: 20 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	run := make(chan error, 1)
	go func() { run <- server.Run(context.Background()) }()
	client, err := controlclient.New(controlclient.Config{Addresses: []string{address}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = client.Close()
		if err := server.Close(); err != nil {
			t.Error(err)
		}
		if err := <-run; err != nil {
			t.Error(err)
		}
	})
	return client
}

// TestDamagedBackupIsRefused flips single bits of a backup and truncates it. Reading it must fail each time.
func TestDamagedBackupIsRefused(t *testing.T) {
	c := startCluster(t)
	client := c.client(controlclient.Config{})
	mustAccept(t, client, poolChange("base", 0, "7"), false)
	copied, err := client.Backup(testContext(t))
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "backup")
	if err := backup.Write(path, copied); err != nil {
		t.Fatal(err)
	}
	if err := backup.Write(path, copied); err == nil {
		t.Error("an existing backup file was overwritten")
	}
	sound, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for position := 0; position < len(sound); position += 1 + len(sound)/40 {
		flipped := append([]byte(nil), sound...)
		flipped[position] ^= 4
		for _, content := range [][]byte{flipped, sound[:position]} {
			if err := os.WriteFile(path, content, 0o600); err != nil {
				t.Fatal(err)
			}
			if _, err := backup.Read(path); err == nil {
				t.Fatalf("a backup of %d bytes that was damaged at byte %d was read without an error", len(content), position)
			}
		}
	}
}
