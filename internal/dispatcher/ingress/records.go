package ingress

import (
	"hash/fnv"
	"net/http"
	"strings"
	"time"

	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/trace"
)

// beginRecord begins the story of a job; nil where nothing is recorded, and then nothing else
// here does anything.
func (f *Front) beginRecord(r *http.Request) *trace.Record {
	s := f.cfg.Recorder.Begin(time.Now(), r.Header.Get("Traceparent"), strings.Join(r.Header["Tracestate"], ","))
	if s != nil {
		s.Method = r.Method
	}
	return s
}

// describeJob takes down what is asked for. The job is nil if it could not be read.
func (f *Front) describeJob(s *trace.Record, r *http.Request, job *core.Job, number int) {
	if s == nil {
		return
	}
	class := (*f.classes.Load())[number]
	s.Class, s.Value, s.RetryWindow = class.Name, class.Value, class.DedupWindow
	if job == nil {
		return
	}
	s.Request, s.Slots, s.Keyed, s.ClientRetry = job.ID, job.Slots, job.Key != "", job.Retry
	s.RetryKey = retryKey(class.Name, r, job)
}

// retryKey returns what all tries of one thing have in common: the idempotency key, or else
// what the job is about. It is a guess there, and only used where the client says that
// it tries again.
func retryKey(class string, r *http.Request, job *core.Job) uint64 {
	h := fnv.New64a()
	parts := []string{class, "key", job.Key}
	if job.Key == "" {
		parts = []string{class, "thing", job.Resource, r.Header.Get("Cookie")}
	}
	for _, part := range parts {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	return h.Sum64() | 1 // 0 is none
}

// endRecord ends the story of a job that the core never gets, or has given up.
func (f *Front) endRecord(s *trace.Record, answer trace.Result, why string, status int) {
	if s == nil {
		return
	}
	s.Finish(time.Duration(time.Now().UnixNano()), answer, trace.ByIngress, why)
	s.Status, s.Retryable = status, answer == trace.Refused
	f.cfg.Recorder.Ended(s)
}
