package operator

import (
	"os"
	"path/filepath"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	pendingFolderMode = 0o700
	pendingSuffix     = ".change"
)

// PendingStore stores sent changes whose answers are not known yet, one file each, so that they survive the command
// that sent them.
type PendingStore struct{ folder string }

// DefaultStateFolder returns the folder for the state of an operator's commands: $XDG_STATE_HOME/tamarindring, or
// .local/state/tamarindring in the home folder. The error is trace.BadParameter if neither is known.
func DefaultStateFolder() (string, error) {
	if state := os.Getenv("XDG_STATE_HOME"); state != "" {
		return filepath.Join(state, "tamarindring"), nil
	}
	home, err := os.UserHomeDir()
	if err != nil {
		return "", trace.BadParameter("no home folder is known; name a folder with --state-folder")
	}
	return filepath.Join(home, ".local", "state", "tamarindring"), nil
}

// NewPendingStore returns a store in a subfolder of folder. Both are created if missing.
func NewPendingStore(folder string) (*PendingStore, error) {
	path := filepath.Join(folder, "pending")
	if err := os.MkdirAll(path, pendingFolderMode); err != nil {
		return nil, trace.Wrap(err, "the folder for pending changes can't be made")
	}
	return &PendingStore{folder: path}, nil
}

func (p *PendingStore) path(key string) string { return filepath.Join(p.folder, key+pendingSuffix) }

// save stores a change durably, replacing an earlier one under the same key. The change must be found again even if
// the command is killed right after.
func (p *PendingStore) save(key string, change *wire.TableChange) error {
	content, err := proto.Marshal(change)
	if err != nil {
		return trace.Wrap(err)
	}
	file, err := os.CreateTemp(p.folder, "new-")
	if err != nil {
		return trace.Wrap(err, "the change can't be kept, so it was not sent")
	}
	defer os.Remove(file.Name())
	_, err = file.Write(content)
	if err == nil {
		err = file.Sync()
	}
	if closeError := file.Close(); err == nil {
		err = closeError
	}
	if err == nil {
		err = os.Rename(file.Name(), p.path(key))
	}
	if err == nil {
		err = syncFolder(p.folder)
	}
	return trace.Wrap(err, "the change can't be kept, so it was not sent")
}

func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}

// load returns the change stored under a key, or nil. The error is trace.BadParameter if the file is damaged.
func (p *PendingStore) load(key string) (*wire.TableChange, error) {
	content, err := os.ReadFile(p.path(key))
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, trace.Wrap(err, "the pending change can't be read")
	}
	change := &wire.TableChange{}
	if err := proto.Unmarshal(content, change); err != nil {
		return nil, trace.BadParameter("the pending change in %s is damaged; remove the file and look at the table's history", p.path(key))
	}
	return change, nil
}

// remove deletes an answered change, unless another change is stored under its key by now.
func (p *PendingStore) remove(key, changeID string) error {
	stored, err := p.load(key)
	if err != nil || stored.GetChangeId() != changeID {
		return err
	}
	if err := os.Remove(p.path(key)); err != nil && !os.IsNotExist(err) {
		return trace.Wrap(err, "the answered change can't be dropped")
	}
	return nil
}
