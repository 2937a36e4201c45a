package ingress

import (
	"hash/fnv"
	"net/http"
	"strings"
	"time"

	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/trace"
)

// beginRecord begins the span record of a job. It returns nil if the job is not recorded; the
// other methods in this file accept nil records and ignore them.
func (f *Front) beginRecord(r *http.Request) *trace.Record {
	record := f.cfg.Recorder.Begin(time.Now(), r.Header.Get("Traceparent"), strings.Join(r.Header["Tracestate"], ","))
	if record != nil {
		record.Method = r.Method
	}
	return record
}

// describeJob records the class and the properties of a job. The job is nil if it could not be
// parsed.
func (f *Front) describeJob(record *trace.Record, r *http.Request, job *core.Job, classIndex int) {
	if record == nil {
		return
	}
	class := (*f.classes.Load())[classIndex]
	record.Class, record.Value, record.RetryWindow = class.Name, class.Value, class.DedupWindow
	if job == nil {
		return
	}
	record.Request, record.Slots, record.Keyed, record.ClientRetry = job.ID, job.Slots, job.Key != "", job.Retry
	record.RetryKey = retryKey(class.Name, r, job)
}

// retryKey returns a hash that is equal for all retries of a job. It hashes the idempotency key
// or, if there is none, the resource and the cookies; the latter is a heuristic, which is used
// only if the client marks the request as a retry. It is never 0.
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
	return h.Sum64() | 1 // 0 means no key
}

// endRecord finishes the record of a job that ends in the ingress: it never reached the core,
// or the core has released it.
func (f *Front) endRecord(record *trace.Record, result trace.Result, reason string, status int) {
	if record == nil {
		return
	}
	record.Finish(time.Duration(time.Now().UnixNano()), result, trace.ByIngress, reason)
	record.Status, record.Retryable = status, result == trace.Refused
	f.cfg.Recorder.Ended(record)
}
