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

// Host is the host name that the cluster's queues are served under.
const Host = "jobs.example"

// Configuration is the configuration that Configure gives the cluster: two queues of one service.
const Configuration = `{"Version":1,"Routes":[` +
	`{"Name":"previews","Host":"jobs.example","PathPrefix":"/previews/","TimeoutMs":3000,"TargetLatencyMs":800,"Priority":0,"Service":"toy","MaxAttempts":3,"Stretch":1.5},` +
	`{"Name":"batches","Host":"jobs.example","PathPrefix":"/batches/","TimeoutMs":3000,"TargetLatencyMs":4000,"Priority":2,"Service":"toy","MaxAttempts":2,"Stretch":4}],` +
	`"Services":[{"Name":"toy","HealthPath":"/health"}]}`

// Call makes a call and returns the response's status and body. An empty host is the address's own, and match is the
// value of If-Match, empty for none.
func Call(method, url, host, match string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, errors.Wrapf(err, "dev cluster: make the request %s %s", method, url)
	}
	request.Host = host
	if match != "" {
		request.Header.Set("If-Match", match)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, errors.Wrap(err, "dev cluster: call")
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, content, errors.Wrapf(err, "dev cluster: read the response of %s %s", method, url)
}

// Configure gives the cluster its configuration and waits until all gateways have it. It tells whether each step was
// done in time.
func (c *Cluster) Configure(within time.Duration) bool {
	for _, m := range c.Cores {
		if !WaitFor(within, func() bool {
			return succeeds(http.MethodPut, "http://"+m.Control()+"/v1/config", "", "0", []byte(Configuration))
		}) {
			return false
		}
	}
	for _, m := range c.Gateways {
		if !WaitFor(within, func() bool {
			return succeeds(http.MethodGet, "http://"+m.Front()+"/previews/", Host, "", nil)
		}) {
			return false
		}
	}
	return true
}

// Submit submits a job at a gateway and tells whether it was accepted.
func (c *Cluster) Submit(gateway int, queue, id, job string) bool {
	return succeeds(http.MethodPost, c.jobURL(gateway, queue, id), Host, "", []byte(job))
}

// State returns a job's state, empty where the gateway does not know it.
func (c *Cluster) State(gateway int, queue, id string) string {
	status, body, err := Call(http.MethodGet, c.jobURL(gateway, queue, id), Host, "", nil)
	if err != nil || status != http.StatusOK {
		return ""
	}
	var job struct{ State string }
	if json.Unmarshal(body, &job) != nil {
		return ""
	}
	return job.State
}

// Head returns the machine whose process serves as the head, nil where none says so.
func (c *Cluster) Head() *Machine {
	for _, m := range c.Cores {
		status, body, err := Call(http.MethodGet, "http://"+m.Control()+"/v1/status", "", "", nil)
		if err != nil || status != http.StatusOK {
			continue
		}
		var head struct {
			Serving bool `json:"serving"`
		}
		if json.Unmarshal(body, &head) == nil && head.Serving {
			return m
		}
	}
	return nil
}

// jobURL returns the address of a job at a gateway.
func (c *Cluster) jobURL(gateway int, queue, id string) string {
	return fmt.Sprintf("http://%s/%s/%s", c.Gateways[gateway].Front(), queue, id)
}

// succeeds tells whether a call is answered with 200.
func succeeds(method, url, host, match string, body []byte) bool {
	status, _, err := Call(method, url, host, match, body)
	return err == nil && status == http.StatusOK
}
