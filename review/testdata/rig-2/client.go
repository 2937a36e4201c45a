package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// host is the Host header of all routes.
const host = "ficu95.example"

// deadline is how long clients wait for an answer; they name it in X-Deadline-Ms.
const deadline = 3 * time.Second

// client sends each request on a connection of its own.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// route is a route of the configuration.
type route struct {
	Name, Host, PathPrefix, RouteType string
	TimeoutMs, TargetLatencyMs        int
	Priority                          int
	Service                           string
	MaxAttempts                       int
	Stretch                           float64
}

// service is a service of the configuration.
type service struct {
	Name, HealthPath string
	MaxConns         int
	Protocol         string
	TLS              bool `json:"Tls"`
	Preconditions    bool
}

// newRoute returns a route of the service work.
func newRoute(name, prefix string, priority, maxAttempts int) route {
	return route{Name: name, Host: host, PathPrefix: prefix, RouteType: "non_idempotent", TimeoutMs: 3000, TargetLatencyMs: 3000,
		Priority: priority, Service: "work", MaxAttempts: maxAttempts, Stretch: 2.2}
}

// configuration returns the body of PUT /v1/config.
func configuration(version int, routes ...route) []byte {
	body, _ := json.Marshal(map[string]any{
		"Version": version, "Routes": routes,
		"Services": []service{{Name: "work", HealthPath: "/health", MaxConns: 64, Protocol: "h1"}},
		"Limits":   map[string]int{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	return body
}

// stage is a step of a job.
type stage struct {
	Count        int
	CPU          int    `json:"Cpu,omitempty"`
	MemMb        int    `json:",omitempty"`
	Gpus         int    `json:",omitempty"`
	EstimateMs   int    `json:",omitempty"`
	DependsOn    []int  `json:",omitempty"`
	Requirements string `json:",omitempty"`
	Affinity     string `json:",omitempty"`
	LongRunning  bool   `json:",omitempty"`
}

// job is a job as clients hand it in.
type job struct {
	ID     string `json:"-"`
	Prefix string `json:"-"`
	Spec   string
	Stages []stage
}

// call sends one request and returns status 0 if no complete answer came within the timeout.
func call(timeout time.Duration, method, url, hostName, ifMatch string, body []byte) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = hostName
	request.Header.Set("Content-Type", "application/json")
	if ifMatch != "" {
		request.Header.Set("If-Match", ifMatch)
	}
	if hostName != "" {
		request.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, "no answer"
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, "no complete answer"
	}
	return response.StatusCode, string(content)
}

// operate sends an order of the operator to the core machines in turn until one answers 200.
func (w *world) operate(method, ifMatch string, body []byte) {
	for attempt := range 40 {
		m := w.cluster.core[attempt%len(w.cluster.core)]
		status, text := call(time.Second, method, "http://"+m.address(controlPort)+"/v1/config", "", ifMatch, body)
		w.log("operator: %s /v1/config at %s, If-Match %s, %.150s: %d %.80s", method, m.name, ifMatch, body, status, text)
		switch {
		case status == http.StatusOK:
			return
		case status >= 400 && status < 500 && status != 408 && status != 429:
			stop("the operator's order is refused with %d", status)
		}
		time.Sleep(100 * time.Millisecond)
	}
	stop("the operator's order is not acknowledged")
}

// awaitReady waits until all carriers are ready and all runners have been given a hold.
func (w *world) awaitReady() {
	for _, m := range w.cluster.edge {
		if !await(15*time.Second, func() bool {
			status, _ := call(time.Second, http.MethodGet, "http://"+m.address(readinessPort)+"/v1/ready", "", "", nil)
			return status == http.StatusOK
		}) {
			stop("%s does not become ready", m.name)
		}
	}
	for _, r := range w.runners {
		if !await(15*time.Second, r.hasHold) {
			stop("runner %s gets no hold", r.id)
		}
	}
	time.Sleep(time.Second)
	w.log("all carriers are ready, all runners have a hold")
}

// url returns the address of a job at a carrier.
func (w *world) url(carrier int, prefix, id string) string {
	return "http://" + w.cluster.edge[carrier].address(frontPort) + prefix + id
}

// post hands a job in once and returns the status, 0 for no answer.
func (w *world) post(carrier int, j job, timeout time.Duration) int {
	body, _ := json.Marshal(j)
	w.log("client: POST %s%s at %s, %d bytes, %.160s", j.Prefix, j.ID, w.cluster.edge[carrier].name, len(body), body)
	status, text := call(timeout, http.MethodPost, w.url(carrier, j.Prefix, j.ID), host, "", body)
	w.log("client: POST %s%s: answer %d %.80s", j.Prefix, j.ID, status, text)
	return status
}

// submit hands a job in, again after no answer, 502, 503 or 504, until it is accepted.
func (w *world) submit(j job) {
	for attempt := range 5 {
		if status := w.post(attempt%len(w.cluster.edge), j, deadline); status/100 == 2 {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
	stop("job %s is not accepted", j.ID)
}

// state asks for the state of a job and returns the status and the state.
func (w *world) state(carrier int, prefix, id string) (int, string) {
	status, text := call(deadline, http.MethodGet, w.url(carrier, prefix, id), host, "", nil)
	var answer struct{ State string }
	if status == http.StatusOK {
		_ = json.Unmarshal([]byte(text), &answer)
	}
	return status, answer.State
}

// logState asks for the state of a job and records the answer.
func (w *world) logState(carrier int, prefix, id string) string {
	status, state := w.state(carrier, prefix, id)
	w.log("client: GET %s%s at %s: %d %s", prefix, id, w.cluster.edge[carrier].name, status, state)
	return state
}

// patch returns the body of PATCH /v1/config.
func patch(version int, upsert []route, remove []string) []byte {
	body, _ := json.Marshal(map[string]any{"Version": version, "Upsert": map[string]any{"Routes": upsert}, "Remove": map[string]any{"Routes": remove}})
	return body
}
