package devcluster

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// callTimeout bounds a call.
const callTimeout = 3 * time.Second

// Host is the host that the system's queues are reached at.
const Host = "jobs.example"

// Configuration is the configuration that the system is given: two queues of one service.
const Configuration = `{"Version":1,"Routes":[` +
	`{"Name":"previews","Host":"jobs.example","PathPrefix":"/previews/","TimeoutMs":3000,"TargetLatencyMs":800,"Priority":0,"Service":"toy","MaxAttempts":3,"Stretch":1.5},` +
	`{"Name":"batches","Host":"jobs.example","PathPrefix":"/batches/","TimeoutMs":3000,"TargetLatencyMs":4000,"Priority":2,"Service":"toy","MaxAttempts":2,"Stretch":4}],` +
	`"Services":[{"Name":"toy","HealthPath":"/health"}]}`

// Call makes a call and returns the answer's status and body.
func Call(method, url, host, match string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, errors.Wrap(err, "small system: a call can't be made")
	}
	request.Host = host
	if match != "" {
		request.Header.Set("If-Match", match)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, errors.Wrap(err, "small system: a call has no answer")
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, answer, errors.Wrap(err, "small system: an answer is cut short")
}

// Configure gives the system its configuration, and waits until the carriers have it.
func (c *Cluster) Configure(within time.Duration) bool {
	for _, m := range c.Cores {
		if !WaitFor(within, func() bool {
			status, _, err := Call(http.MethodPut, "http://"+m.Control()+"/v1/config", "", "0", []byte(Configuration))
			return err == nil && status == http.StatusOK
		}) {
			return false
		}
	}
	for _, m := range c.Gateways {
		if !WaitFor(within, func() bool {
			status, _, err := Call(http.MethodGet, "http://"+m.Front()+"/previews/", Host, "", nil)
			return err == nil && status == http.StatusOK
		}) {
			return false
		}
	}
	return true
}

// Submit hands a job in at a carrier and tells whether it was accepted.
func (c *Cluster) Submit(gateway int, queue, id, job string) bool {
	status, _, err := Call(http.MethodPost, fmt.Sprintf("http://%s/%s/%s", c.Gateways[gateway].Front(), queue, id), Host, "", []byte(job))
	return err == nil && status == http.StatusOK
}

// State returns a job's state, empty where it can't be had.
func (c *Cluster) State(gateway int, queue, id string) string {
	status, body, err := Call(http.MethodGet, fmt.Sprintf("http://%s/%s/%s", c.Gateways[gateway].Front(), queue, id), Host, "", nil)
	if err != nil || status != http.StatusOK {
		return ""
	}
	var answer struct{ State string }
	if json.Unmarshal(body, &answer) != nil {
		return ""
	}
	return answer.State
}

// Head returns the machine whose process serves as the head, nil where none says so.
func (c *Cluster) Head() *Machine {
	for _, m := range c.Cores {
		status, body, err := Call(http.MethodGet, "http://"+m.Control()+"/v1/status", "", "", nil)
		if err != nil || status != http.StatusOK {
			continue
		}
		var answer struct {
			Serving bool `json:"serving"`
		}
		if json.Unmarshal(body, &answer) == nil && answer.Serving {
			return m
		}
	}
	return nil
}
