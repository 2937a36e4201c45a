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

// callTimeout bounds a request together with its response.
const callTimeout = 3 * time.Second

// Host is the host name in the routes of Configuration.
const Host = "jobs.example"

// Configuration is the JSON configuration that Configure applies: two queues of one service.
const Configuration = `{"Version":1,"Routes":[` +
	`{"Name":"previews","Host":"jobs.example","PathPrefix":"/previews/","TimeoutMs":3000,"TargetLatencyMs":800,"Priority":0,"Service":"toy","MaxAttempts":3,"Stretch":1.5},` +
	`{"Name":"batches","Host":"jobs.example","PathPrefix":"/batches/","TimeoutMs":3000,"TargetLatencyMs":4000,"Priority":2,"Service":"toy","MaxAttempts":2,"Stretch":4}],` +
	`"Services":[{"Name":"toy","HealthPath":"/health"}]}`

// Call sends an HTTP request and returns the status and body of its response. It returns an error
// if there is no complete response within 3 s. If host is empty, the Host header is that of the
// URL. If ifMatch is not empty, it is sent as the If-Match header.
func Call(method, url, host, ifMatch string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, errors.Wrapf(err, "dev cluster: make the request %s %s", method, url)
	}
	request.Host = host
	if ifMatch != "" {
		request.Header.Set("If-Match", ifMatch)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, errors.Wrap(err, "dev cluster: call")
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, content, errors.Wrapf(err, "dev cluster: read the response of %s %s", method, url)
}

// Configure puts Configuration to each control plane machine and waits until all gateways serve it.
// It reports whether each of these requests succeeded within the timeout.
func (c *Cluster) Configure(timeout time.Duration) bool {
	for _, m := range c.Cores {
		if !WaitFor(timeout, func() bool {
			return succeeds(http.MethodPut, "http://"+m.Control()+"/v1/config", "", "0", []byte(Configuration))
		}) {
			return false
		}
	}
	for _, m := range c.Gateways {
		if !WaitFor(timeout, func() bool {
			return succeeds(http.MethodGet, "http://"+m.Front()+"/previews/", Host, "", nil)
		}) {
			return false
		}
	}
	return true
}

// Submit posts a job to a gateway and reports whether it was accepted.
func (c *Cluster) Submit(gateway int, queue, id, job string) bool {
	return succeeds(http.MethodPost, c.jobURL(gateway, queue, id), Host, "", []byte(job))
}

// State returns a job's state as a gateway reports it, empty if the request fails.
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

// Head returns the control plane machine that reports itself as the serving head, nil if there is
// none.
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

// jobURL returns the URL of a job at a gateway.
func (c *Cluster) jobURL(gateway int, queue, id string) string {
	return fmt.Sprintf("http://%s/%s/%s", c.Gateways[gateway].Front(), queue, id)
}

// succeeds reports whether a request is answered with 200. Its parameters are those of Call.
func succeeds(method, url, host, ifMatch string, body []byte) bool {
	status, _, err := Call(method, url, host, ifMatch, body)
	return err == nil && status == http.StatusOK
}
