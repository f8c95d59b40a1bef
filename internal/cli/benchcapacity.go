package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/bench/capacity"
)

// benchCapacityCommand measures what each role costs and renders docs/CAPACITY-loopback.md from it.
type benchCapacityCommand struct {
	Folder   string        `long:"folder" description:"Folder on the disk to measure (default: the system's folder for temporary files)"`
	PerPoint time.Duration `long:"per-point" default:"4s" description:"Time of each measurement"`
	Lease    time.Duration `long:"lease" default:"6s" description:"Table lease"`
	Revision string        `long:"revision" description:"Source revision to note, where the build was not stamped with it"`
	Parts    []string      `long:"part" choice:"states" choice:"sessions" choice:"groups" choice:"claims" choice:"samples" choice:"gateway" choice:"polls" choice:"coordinator" choice:"waves" description:"Measure only this part; may be given several times (default: all, which a page needs)"`
	Page     string        `long:"page" description:"Write the page here, and its figures beside it as capacity.json"`
	From     string        `long:"from" description:"JSON of an earlier run: measure the given parts anew and keep the others; without --part measure nothing"`
}

// figuresName is the file of the measured figures, in the page's folder.
const figuresName = "capacity.json"

// Run measures, prints JSON and writes the page if asked to.
func (c *benchCapacityCommand) Run(environment Environment, _ []string) error {
	report, err := c.report(environment)
	if err != nil {
		return err
	}
	figures, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return trace.Wrap(err)
	}
	figures = append(figures, '\n')
	if c.Page != "" {
		if err := writePage(c.Page, figures); err != nil {
			return err
		}
	}
	_, err = environment.Stdout.Write(figures)
	return err
}

func (c *benchCapacityCommand) report(environment Environment) (*capacity.Report, error) {
	var earlier *capacity.Report
	if c.From != "" {
		figures, err := os.ReadFile(c.From)
		if err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		earlier, err = capacity.Parse(figures)
		if err != nil || len(c.Parts) == 0 {
			return earlier, err
		}
	}
	folder, err := os.MkdirTemp(c.Folder, "bench-capacity-")
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	defer os.RemoveAll(folder)
	return capacity.Run(environment.Context, capacity.Config{Folder: folder, PerPoint: c.PerPoint, Lease: c.Lease, Revision: c.Revision, Parts: c.Parts, Earlier: earlier,
		Progress: func(part string) { fmt.Fprintf(environment.Stderr, "bench capacity: measuring %s\n", part) }})
}

// writePage renders the page from the figures as they are written, so that both always agree.
func writePage(path string, figures []byte) error {
	report, err := capacity.Parse(figures)
	if err != nil {
		return err
	}
	var page bytes.Buffer
	if err := capacity.Render(&page, report); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(filepath.Dir(path), figuresName), figures, 0o644); err != nil {
		return trace.ConvertSystemError(err)
	}
	return trace.ConvertSystemError(os.WriteFile(path, page.Bytes(), 0o644))
}
