// Package processbench measures what running processes cost, from the operating system's account: resident
// memory, processor time, and bytes passed by system calls. It needs Linux's /proc.
package processbench

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

const (
	procFolder = "/proc"
	// clockTicks is the unit of processor times in /proc, in ticks a second; fixed for programs by Linux.
	clockTicks = 100
	// Positions in /proc/PID/stat behind the command, which ends with the last ')'.
	userTimePosition   = 11
	systemTimePosition = 12
)

// Cost is what one process cost while it was watched.
type Cost struct {
	PID           int     `json:"pid"`
	Command       string  `json:"command"`
	ResidentBytes uint64  `json:"resident_bytes"`      // at the end
	Cores         float64 `json:"cores"`               // processor time over wall time
	ReadPerSec    float64 `json:"read_bytes_per_s"`    // by system calls: sockets and files
	WrittenPerSec float64 `json:"written_bytes_per_s"` // by system calls: sockets and files
}

// sample is one reading of a process's account.
type sample struct {
	processor time.Duration
	read      uint64
	written   uint64
}

// Measure watches the processes for duration, or until ctx ends, which is an error.
func Measure(ctx context.Context, pids []int, duration time.Duration) ([]Cost, error) {
	before := make([]sample, len(pids))
	started := time.Now()
	for index, pid := range pids {
		var err error
		if before[index], err = readSample(pid); err != nil {
			return nil, err
		}
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-timer.C:
	}
	wall := time.Since(started)
	var costs []Cost
	for index, pid := range pids {
		cost, err := costSince(pid, before[index], wall)
		if err != nil {
			return nil, err
		}
		costs = append(costs, cost)
	}
	return costs, nil
}

func costSince(pid int, before sample, wall time.Duration) (Cost, error) {
	after, err := readSample(pid)
	if err != nil {
		return Cost{}, err
	}
	resident, err := readResident(pid)
	if err != nil {
		return Cost{}, err
	}
	command, err := readFile(pid, "cmdline")
	if err != nil {
		return Cost{}, err
	}
	return Cost{
		PID: pid, Command: strings.TrimSpace(strings.ReplaceAll(command, "\x00", " ")), ResidentBytes: resident,
		Cores:         float64(after.processor-before.processor) / float64(wall),
		ReadPerSec:    float64(after.read-before.read) / wall.Seconds(),
		WrittenPerSec: float64(after.written-before.written) / wall.Seconds(),
	}, nil
}

func readFile(pid int, name string) (string, error) {
	content, err := os.ReadFile(filepath.Join(procFolder, strconv.Itoa(pid), name))
	if err != nil {
		return "", trace.BadParameter("process %d can't be watched: %v", pid, err)
	}
	return string(content), nil
}

func readSample(pid int) (sample, error) {
	stat, err := readFile(pid, "stat")
	if err != nil {
		return sample{}, err
	}
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	if len(fields) <= systemTimePosition {
		return sample{}, trace.BadParameter("process %d has an account of an unknown form", pid)
	}
	var ticks uint64
	for _, position := range []int{userTimePosition, systemTimePosition} {
		number, err := strconv.ParseUint(fields[position], 10, 64)
		if err != nil {
			return sample{}, trace.Wrap(err)
		}
		ticks += number
	}
	account, err := readFile(pid, "io")
	if err != nil {
		return sample{}, err
	}
	taken := sample{processor: time.Duration(ticks) * time.Second / clockTicks}
	if _, err := fmt.Sscanf(account, "rchar: %d\nwchar: %d", &taken.read, &taken.written); err != nil {
		return sample{}, trace.Wrap(err, "the account of process %d has an unknown form", pid)
	}
	return taken, nil
}

func readResident(pid int) (uint64, error) {
	content, err := readFile(pid, "statm")
	if err != nil {
		return 0, err
	}
	var size, resident uint64
	if _, err := fmt.Sscan(content, &size, &resident); err != nil {
		return 0, trace.Wrap(err)
	}
	return resident * uint64(os.Getpagesize()), nil
}
