package cli

import (
	"context"
	"fmt"
	"time"

	"github.com/tamarindring/tamarindring/internal/backup"
	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/storage"
)

type dataBackupCommand struct {
	controlAccess
	Positional struct {
		File string `positional-arg-name:"FILE" description:"new file for the backup"`
	} `positional-args:"yes" required:"yes"`
}

// Run copies the state of every group from running control nodes into a file.
func (c *dataBackupCommand) Run(environment Environment, _ []string) error {
	return c.withClient(environment, func(ctx context.Context, client *controlclient.Client) error {
		clusterBackup, err := client.Backup(ctx)
		if err != nil {
			return err
		}
		clusterBackup.AtUnixMillis = time.Now().UnixMilli()
		if err := backup.Write(c.Positional.File, clusterBackup); err != nil {
			return err
		}
		_, err = fmt.Fprintf(environment.Stdout, "%d groups of cluster %s are in %s\n", len(clusterBackup.Groups), clusterBackup.ClusterId, c.Positional.File)
		return err
	})
}

type dataRestoreCommand struct {
	ClusterID  string `long:"cluster" required:"true" description:"Id of the new cluster; must differ from the old one's"`
	NodeID     uint64 `long:"id" required:"true" description:"Id of the new cluster's first node"`
	Name       string `long:"name" required:"true" description:"Name of the new cluster's first node"`
	Positional struct {
		File   string `positional-arg-name:"FILE" description:"backup"`
		Folder string `positional-arg-name:"DIR" description:"new data folder"`
	} `positional-args:"yes" required:"yes"`
}

// Run creates the first data folder of a new cluster from a backup.
func (c *dataRestoreCommand) Run(environment Environment, _ []string) error {
	clusterBackup, err := backup.Read(c.Positional.File)
	if err != nil {
		return err
	}
	options := storage.Options{Folder: c.Positional.Folder, ClusterID: c.ClusterID, NodeID: c.NodeID, NodeName: c.Name}
	if err := backup.Restore(clusterBackup, options); err != nil {
		return err
	}
	_, err = fmt.Fprintf(environment.Stdout, "%s holds %d groups as of %s; start it with ledger-groups %d and its own address as the only peer\n",
		c.Positional.Folder, len(clusterBackup.Groups), time.UnixMilli(clusterBackup.AtUnixMillis).UTC().Format(time.RFC3339), len(clusterBackup.Groups)-1)
	return err
}
