package server

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"frosttide/internal/chainclient"
	"frosttide/internal/control/member"
	"frosttide/internal/protocol"
)

const (
	// answerTime is how long a caller of the API waits at the most; callers go elsewhere after a second.
	answerTime = 900 * time.Millisecond
	// mostBody bounds a configuration in bytes.
	mostBody = 16 << 20
	// readTime bounds how long a call may take to come in.
	readTime = 10 * time.Second
)

// serveAPI serves the operator's API.
func (h *Host) serveAPI(address string) (stop func(), err error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, errors.Wrap(err, "control: the operator's address can't be listened on")
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/config", h.getConfig)
	mux.HandleFunc("PUT /v1/config", func(w http.ResponseWriter, r *http.Request) { h.changeConfig(w, r, false) })
	mux.HandleFunc("PATCH /v1/config", func(w http.ResponseWriter, r *http.Request) { h.changeConfig(w, r, true) })
	mux.HandleFunc("GET /v1/status", h.getStatus)
	mux.HandleFunc("GET /v1/scheduler", h.inspect("", ""))
	mux.HandleFunc("GET /v1/jobs", h.inspect(member.WhatJobs, ""))
	mux.HandleFunc("GET /v1/jobs/{id}", h.inspect(member.WhatJob, "id"))
	mux.HandleFunc("DELETE /v1/jobs/{id}", h.cancelJob)
	mux.HandleFunc("GET /v1/config/history", h.inspect(member.WhatHistory, ""))
	server := &http.Server{Handler: mux, ReadTimeout: readTime}
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			klog.ErrorS(err, "The operator's API ends")
		}
	}()
	return func() { server.Close() }, nil
}

// ask has the control plane answer a request.
func (h *Host) ask(ctx context.Context, r *protocol.ClientRequest, read bool) (chainclient.Outcome, bool) {
	answer := make(chan chainclient.Outcome, 1)
	h.process.Do(func() {
		h.waiting[h.member.Ask(h.process.Now(), r, read, answerTime)] = answer
	})
	select {
	case o := <-answer:
		return o, true
	case <-ctx.Done():
		return chainclient.Outcome{}, false
	}
}

func (h *Host) getConfig(w http.ResponseWriter, r *http.Request) {
	h.respond(w, r, &protocol.ClientRequest{Op: &protocol.ClientRequest_ReadConfig{ReadConfig: &protocol.ReadConfig{}}}, true)
}

func (h *Host) changeConfig(w http.ResponseWriter, r *http.Request, patch bool) {
	match, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	if err != nil {
		http.Error(w, "If-Match: it holds no version", http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, mostBody))
	if err != nil {
		http.Error(w, "the body can't be read: "+err.Error(), http.StatusBadRequest)
		return
	}
	h.respond(w, r, &protocol.ClientRequest{Op: &protocol.ClientRequest_Config{Config: &protocol.ConfigOrder{Patch: patch, IfMatch: match, Body: body}}}, false)
}

// respond answers a call with what the control plane says. Without its answer the caller is told to ask
// again; an order may or may not have been taken then.
func (h *Host) respond(w http.ResponseWriter, r *http.Request, request *protocol.ClientRequest, read bool) {
	o, ok := h.ask(r.Context(), request, read)
	switch {
	case !ok:
	case o.Reply == nil:
		w.Header().Set("Retry-After", "1")
		http.Error(w, "the control plane does not answer", http.StatusServiceUnavailable)
	default:
		if len(o.Reply.GetBody()) > 0 && o.Reply.GetStatus() == http.StatusOK {
			w.Header().Set("Content-Type", "application/json")
		}
		w.WriteHeader(int(o.Reply.GetStatus()))
		_, _ = w.Write(o.Reply.GetBody())
	}
}

// inspect answers with a part of the state of the placement role, wherever that is. It may be of entries that
// are not committed: it is for operators' eyes.
func (h *Host) inspect(what, pathValue string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		read := &protocol.ReadStatus{What: what}
		if pathValue != "" {
			read.Id = r.PathValue(pathValue)
		}
		h.respond(w, r, &protocol.ClientRequest{Op: &protocol.ClientRequest_ReadStatus{ReadStatus: read}}, false)
	}
}

// cancelJob cancels a job at an operator's wish.
func (h *Host) cancelJob(w http.ResponseWriter, r *http.Request) {
	h.respond(w, r, &protocol.ClientRequest{Op: &protocol.ClientRequest_Cancel{Cancel: &protocol.Cancel{Id: r.PathValue("id")}}}, false)
}

// getStatus answers with the state of this member.
func (h *Host) getStatus(w http.ResponseWriter, r *http.Request) {
	answer := make(chan any, 1)
	h.process.Do(func() { answer <- h.member.Replica().Status() })
	select {
	case status := <-answer:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(status)
	case <-r.Context().Done():
	}
}
