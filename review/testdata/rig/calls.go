package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"
)

// callTime is how long a caller waits for an answer.
const callTime = 3 * time.Second

// quiet sends a call and returns the status, 0 without a complete answer, and the body.
func (r *rig) quiet(method, url, host, ifMatch, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	require(err == nil, "call %s %s: %v", method, url, err)
	request.Host = host
	if ifMatch != "" {
		request.Header.Set("If-Match", ifMatch)
	}
	if body != "" {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(content)
}

// operator sends an order to each core machine in turn until it gets a clear answer, and returns its status.
func (r *rig) operator(method, ifMatch, body string) int {
	for _, core := range r.cores {
		status, answer := r.quiet(method, "http://"+core.control()+"/v1/config", "", ifMatch, body)
		r.record.logf("operator: %s /v1/config If-Match %s %s -> %d %s", method, ifMatch, body, status, answer)
		if status != 0 && status < 500 {
			return status
		}
	}
	return 0
}

// post hands a job in, again and again until it gets a clear answer, and returns the status.
func (r *rig) post(host, prefix, id, body string) int {
	for try := range 8 {
		edge := r.edges[try%len(r.edges)]
		status, answer := r.quiet("POST", "http://"+edge.front()+prefix+id, host, "", body)
		r.record.logf("client: POST %s%s %s at %s -> %d %s", prefix, id, body, edge.name, status, answer)
		if status != 0 && status < 500 {
			return status
		}
		time.Sleep(200 * time.Millisecond)
	}
	return 0
}

// state asks for a job at the edge machines in turn and returns its state, or the status of the answer as text.
func (r *rig) state(host, prefix, id string) string {
	last := "no answer"
	for try := range 4 {
		edge := r.edges[try%len(r.edges)]
		status, answer := r.quiet("GET", "http://"+edge.front()+prefix+id, host, "", "")
		r.record.logf("client: GET %s%s at %s -> %d %s", prefix, id, edge.name, status, answer)
		var job struct{ State string }
		switch {
		case status == http.StatusOK && json.Unmarshal([]byte(answer), &job) == nil:
			return job.State
		case status != 0:
			last = http.StatusText(status)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return last
}

// peek is like state, asks once and records nothing.
func (r *rig) peek(host, prefix, id string) string {
	status, answer := r.quiet("GET", "http://"+r.edges[0].front()+prefix+id, host, "", "")
	var job struct{ State string }
	if status != http.StatusOK || json.Unmarshal([]byte(answer), &job) != nil {
		return ""
	}
	return job.State
}
