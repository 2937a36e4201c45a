package ingress

import (
	"hash/fnv"
	"net/http"
	"strings"
	"time"

	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/trace"
)

// story begins the story of a job; nil where nothing is recorded, and then nothing else
// here does anything.
func (f *Front) story(r *http.Request) *trace.Story {
	s := f.cfg.Stories.Begin(time.Now(), r.Header.Get("Traceparent"), strings.Join(r.Header["Tracestate"], ","))
	if s != nil {
		s.Method = r.Method
	}
	return s
}

// describe takes down what is asked for. The job is nil if it could not be read.
func (f *Front) describe(s *trace.Story, r *http.Request, job *core.Job, number int) {
	if s == nil {
		return
	}
	class := (*f.classes.Load())[number]
	s.Class, s.Worth, s.Window = class.Name, class.Worth, class.Repeats
	if job == nil {
		return
	}
	s.Request, s.Slots, s.Keyed, s.Repeat = job.ID, job.Slots, job.Key != "", job.Retry
	s.Try = try(class.Name, r, job)
}

// try returns what all tries of one thing have in common: the idempotency key, or else
// what the job is about. It is a guess there, and only used where the client says that
// it tries again.
func try(class string, r *http.Request, job *core.Job) uint64 {
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

// atDoor ends the story of a job that the core never gets, or has given up.
func (f *Front) atDoor(s *trace.Story, answer trace.Answer, why string, status int) {
	if s == nil {
		return
	}
	s.End(time.Duration(time.Now().UnixNano()), answer, trace.ByDoor, why)
	s.Status, s.Refusal = status, answer == trace.Refused
	f.cfg.Stories.Ended(s)
}
