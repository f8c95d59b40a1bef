// Package processbench measures resident memory, processor time and system call traffic of running processes. It reads
// /proc and therefore works on Linux only.
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
	// clockTicks is the number of ticks a second in which /proc reports processor time. Linux fixes this value for user
	// space.
	clockTicks = 100
	// Indexes of the fields utime and stime among those of /proc/PID/stat that follow the command. The command ends at
	// the last ')' of the line.
	userTimeIndex   = 11
	systemTimeIndex = 12
)

// Cost is the resource usage of one process during a measurement.
type Cost struct {
	PID           int     `json:"pid"`
	Command       string  `json:"command"`
	ResidentBytes uint64  `json:"resident_bytes"`      // at the end of the measurement
	Cores         float64 `json:"cores"`               // processor time divided by wall time
	ReadPerSec    float64 `json:"read_bytes_per_s"`    // by system calls: sockets and files
	WrittenPerSec float64 `json:"written_bytes_per_s"` // by system calls: sockets and files
}

// sample contains a process's counters in /proc at one moment, counted from the start of the process.
type sample struct {
	processorTime time.Duration
	readBytes     uint64
	writtenBytes  uint64
}

// Measure returns the resource usage of the processes during the given duration, in the order of pids. It fails when
// ctx ends before that, or when a process is not running or may not be inspected.
func Measure(ctx context.Context, pids []int, duration time.Duration) ([]Cost, error) {
	before := make([]sample, len(pids))
	started := time.Now()
	for index, pid := range pids {
		var err error
		if before[index], err = takeSample(pid); err != nil {
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
		cost, err := readCostSince(pid, before[index], wall)
		if err != nil {
			return nil, err
		}
		costs = append(costs, cost)
	}
	return costs, nil
}

// readCostSince returns the usage of a process since the sample before, which was taken the duration wall ago.
func readCostSince(pid int, before sample, wall time.Duration) (Cost, error) {
	after, err := takeSample(pid)
	if err != nil {
		return Cost{}, err
	}
	resident, err := readResidentBytes(pid)
	if err != nil {
		return Cost{}, err
	}
	command, err := readProcFile(pid, "cmdline")
	if err != nil {
		return Cost{}, err
	}
	return Cost{
		PID: pid, Command: strings.TrimSpace(strings.ReplaceAll(command, "\x00", " ")), ResidentBytes: resident,
		Cores:         float64(after.processorTime-before.processorTime) / float64(wall),
		ReadPerSec:    float64(after.readBytes-before.readBytes) / wall.Seconds(),
		WrittenPerSec: float64(after.writtenBytes-before.writtenBytes) / wall.Seconds(),
	}, nil
}

// readProcFile returns the content of a file in the process's folder of /proc.
func readProcFile(pid int, name string) (string, error) {
	content, err := os.ReadFile(filepath.Join(procFolder, strconv.Itoa(pid), name))
	if err != nil {
		return "", trace.BadParameter("process %d can't be watched: %v", pid, err)
	}
	return string(content), nil
}

func takeSample(pid int) (sample, error) {
	stat, err := readProcFile(pid, "stat")
	if err != nil {
		return sample{}, err
	}
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	if len(fields) <= systemTimeIndex {
		return sample{}, trace.BadParameter("process %d has an account of an unknown form", pid)
	}
	var ticks uint64
	for _, index := range []int{userTimeIndex, systemTimeIndex} {
		count, err := strconv.ParseUint(fields[index], 10, 64)
		if err != nil {
			return sample{}, trace.Wrap(err)
		}
		ticks += count
	}
	ioCounters, err := readProcFile(pid, "io")
	if err != nil {
		return sample{}, err
	}
	taken := sample{processorTime: time.Duration(ticks) * time.Second / clockTicks}
	if _, err := fmt.Sscanf(ioCounters, "rchar: %d\nwchar: %d", &taken.readBytes, &taken.writtenBytes); err != nil {
		return sample{}, trace.Wrap(err, "the account of process %d has an unknown form", pid)
	}
	return taken, nil
}

// readResidentBytes returns the size of the process's resident memory.
func readResidentBytes(pid int) (uint64, error) {
	content, err := readProcFile(pid, "statm")
	if err != nil {
		return 0, err
	}
	var size, residentPages uint64
	if _, err := fmt.Sscan(content, &size, &residentPages); err != nil {
		return 0, trace.Wrap(err)
	}
	return residentPages * uint64(os.Getpagesize()), nil
}
