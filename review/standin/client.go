package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// sent is what a client saw of one request.
type sent struct {
	Attempt  string
	Kind     string
	Began    time.Time
	Ended    time.Time
	Status   int
	Complete bool // the whole answer arrived
	Stamp    string
	Events   []int
	Body     string // its first bytes
	Err      string
}

const (
	clientDeadline = 12 * time.Second
	// shownBody bounds how much of an answer is kept.
	shownBody = 200
)

// send sends one request on a new connection and reads the whole answer.
func (w *world) send(ctx context.Context, gateway *process, host, path, kind, attempt string, asked work) *sent {
	return w.sendOn(ctx, newHTTPClient(0), gateway, host, path, kind, attempt, asked)
}

// keptConnection returns a client that uses one connection for all of its requests, one after the other.
func keptConnection() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true, MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1}}
}

// sendOn sends one request by the given HTTP client and reads the whole answer.
func (w *world) sendOn(ctx context.Context, client *http.Client, gateway *process, host, path, kind, attempt string, asked work) *sent {
	body, _ := json.Marshal(asked)
	result := &sent{Attempt: attempt, Kind: kind, Began: time.Now()}
	w.record.write("request sent", "attempt", attempt, "kind", kind, "gateway", gateway.name, "path", path, "work", asked)
	defer func() {
		result.Ended = time.Now()
		w.record.write("request ended", "attempt", attempt, "kind", kind, "status", result.Status, "complete", result.Complete,
			"stamp", result.Stamp, "events", len(result.Events), "error", result.Err,
			"took_ms", result.Ended.Sub(result.Began).Milliseconds())
	}()
	ctx, cancel := context.WithTimeout(ctx, clientDeadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+gateway.address(frontPort)+path, bytes.NewReader(body))
	if err != nil {
		result.Err = err.Error()
		return result
	}
	request.Host = host
	request.Header.Set("X-Attempt-Id", attempt)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(clientDeadline.Milliseconds(), 10))
	response, err := client.Do(request)
	if err != nil {
		result.Err = err.Error()
		return result
	}
	defer response.Body.Close()
	result.Status, result.Stamp = response.StatusCode, response.Header.Get("X-Server-Stamp")
	reader := bufio.NewReader(response.Body)
	for {
		line, err := reader.ReadString('\n')
		if len(result.Body) < shownBody {
			result.Body += line
		}
		if id, found := strings.CutPrefix(strings.TrimSpace(line), "id: "); found {
			if number, err := strconv.Atoi(id); err == nil {
				result.Events = append(result.Events, number)
			}
		}
		if errors.Is(err, io.EOF) {
			result.Complete = true
			return result
		}
		if err != nil {
			result.Err = err.Error()
			return result
		}
	}
}
