package coordinator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"
)

// caller is a test client that makes single trainer calls.
type caller struct {
	t       *testing.T
	address string
	client  *http.Client
}

func newCaller(t *testing.T, address string) *caller {
	made := &caller{t: t, address: address, client: &http.Client{Transport: &http.Transport{}, Timeout: testTimeout}}
	t.Cleanup(made.client.CloseIdleConnections)
	return made
}

const (
	callPause            = 50 * time.Millisecond
	callAttempts         = 40                           // for a call that may fail
	requiredCallAttempts = int(testTimeout / callPause) // for a call that has to succeed eventually
)

// call repeats a call while the answer has status 503, decodes the body of a 200 answer and returns the status.
func (c *caller) call(method, path string, body, answer any) int {
	c.t.Helper()
	return c.repeat(callAttempts, method, path, body, answer)
}

func (c *caller) repeat(attempts int, method, path string, body, answer any) int {
	c.t.Helper()
	encoded, err := json.Marshal(body)
	must(c.t, err)
	for range attempts {
		request, err := http.NewRequest(method, "http://"+c.address+path, bytes.NewReader(encoded))
		must(c.t, err)
		response, err := c.client.Do(request)
		must(c.t, err)
		if response.StatusCode == http.StatusOK && answer != nil {
			must(c.t, json.NewDecoder(response.Body).Decode(answer))
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusServiceUnavailable {
			return response.StatusCode
		}
		time.Sleep(callPause)
	}
	return http.StatusServiceUnavailable
}

func (c *caller) must(method, path string, body, answer any) {
	c.t.Helper()
	if status := c.repeat(requiredCallAttempts, method, path, body, answer); status != http.StatusOK {
		c.t.Fatalf("%s %s: status %d", method, path, status)
	}
}

func (c *caller) openStep(name string, step, prompts, samples int) {
	c.t.Helper()
	body := stepBody{Pool: "copy", SamplesPerPrompt: uint32(samples)}
	for index := range prompts {
		body.Prompts = append(body.Prompts, promptBody{ID: fmt.Sprint("p", index), Text: fmt.Sprintf("%s %d %d: ", name, step, index), MaxTokens: 40})
	}
	c.must(http.MethodPut, fmt.Sprintf("/v1/trainers/%s/steps/%d", name, step), body, nil)
}

func (c *caller) fetch(name string, body fetchBody) fetchReply {
	c.t.Helper()
	var reply fetchReply
	c.must(http.MethodPost, "/v1/trainers/"+name+"/fetch", body, &reply)
	return reply
}
