package ingress

import (
	"hash/fnv"
	"net/http"
	"strings"
	"time"

	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/trace"
)

// beginRecord begins the span record of a job. It returns nil where nothing is
// recorded; the other functions of this file then do nothing.
func (f *Front) beginRecord(r *http.Request) *trace.Record {
	record := f.cfg.Recorder.Begin(time.Now(), r.Header.Get("Traceparent"), strings.Join(r.Header["Tracestate"], ","))
	if record != nil {
		record.Method = r.Method
	}
	return record
}

// describeJob records what is asked for. The job is nil if it could not be parsed.
func (f *Front) describeJob(record *trace.Record, r *http.Request, job *core.Job, number int) {
	if record == nil {
		return
	}
	class := (*f.classes.Load())[number]
	record.Class, record.Value, record.RetryWindow = class.Name, class.Value, class.DedupWindow
	if job == nil {
		return
	}
	record.Request, record.Slots, record.Keyed, record.ClientRetry = job.ID, job.Slots, job.Key != "", job.Retry
	record.RetryKey = retryKey(class.Name, r, job)
}

// retryKey returns a hash that all retries of one job have in common: of its
// idempotency key, or else of what the job is about. The latter is a guess, which
// counts only where the client says that it retries. It is never 0.
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
	return h.Sum64() | 1 // 0 stands for none
}

// endRecord ends the record of a job that the core never gets, or has released.
func (f *Front) endRecord(record *trace.Record, result trace.Result, reason string, status int) {
	if record == nil {
		return
	}
	record.Finish(time.Duration(time.Now().UnixNano()), result, trace.ByIngress, reason)
	record.Status, record.Retryable = status, result == trace.Refused
	f.cfg.Recorder.Ended(record)
}
