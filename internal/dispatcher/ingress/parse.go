package ingress

import (
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"frosttide/internal/dispatcher/core"
)

// parseJob reads a job's headers. A size hint that is no number is passed over, as it is
// a rough estimate at best.
func (f *Front) parseJob(r *http.Request, class int, came time.Time) (*core.Job, error) {
	h := r.Header
	job := &core.Job{ID: h.Get("X-Trace-Id"), Method: r.Method, Resource: r.RequestURI, Key: h.Get("Idempotency-Key"),
		Class: class, Retry: h.Get("X-Second-Try") == "1", Slots: 1}
	if !validID(job.ID) || len(h["X-Trace-Id"]) > 1 {
		return nil, errors.New("X-Trace-Id is missing or malformed")
	}
	if !strings.HasPrefix(job.Resource, "/") {
		return nil, errors.New("the request target is not a path")
	}
	if (*f.classes.Load())[class].Keyed && job.Key == "" {
		return nil, errors.New("Idempotency-Key is missing")
	}
	ms, err := strconv.ParseInt(h.Get("X-Expires-In-Ms"), 10, 64)
	if err != nil || ms <= 0 || ms > math.MaxInt32 {
		return nil, errors.New("X-Expires-In-Ms is missing or malformed")
	}
	job.Deadline = came.Add(time.Duration(ms)*time.Millisecond - transitAllowance)
	if job.Gang, err = parseGang(h); err != nil {
		return nil, err
	}
	if hint, err := strconv.ParseInt(h.Get("X-Size-Hint"), 10, 64); err == nil && hint > 0 && hint < math.MaxInt32 {
		job.Hint = time.Duration(hint) * time.Microsecond
	}
	if name := h.Get("X-Customer"); name != "" { // one that the settings don't name has no share
		job.Tenant = slices.Index(*f.tenants.Load(), name) + 1
	}
	if c, err := r.Cookie("k"); err == nil {
		subject := fnv.New64a() // only equality matters
		subject.Write([]byte(c.Value))
		job.Subject = subject.Sum64()
	}
	for pair := range strings.SplitSeq(h.Get("X-Props"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		to := map[string]*float64{"slots": &job.Slots, "memory": &job.Memory}[name]
		if to == nil {
			continue // unknown figures are passed over
		}
		if *to, err = strconv.ParseFloat(value, 64); err != nil || *to < 0 || math.IsNaN(*to) || math.IsInf(*to, 0) {
			return nil, fmt.Errorf("X-Props: %s is malformed", name)
		}
	}
	if job.Slots > f.cfg.MaxSlots {
		return nil, fmt.Errorf("X-Props: slots=%g is more than any runner has", job.Slots)
	}
	return job, nil
}

// maxParts is the most parts of a gang that can be told.
const maxParts = 1 << 16

// parseGang reads which part of a gang a job is: X-Gang names the gang, X-Gang-Part is N/OF.
func parseGang(h http.Header) (*core.Gang, error) {
	id := h.Get("X-Gang")
	if id == "" {
		return nil, nil
	}
	a, b, _ := strings.Cut(h.Get("X-Gang-Part"), "/")
	n, err1 := strconv.Atoi(a)
	of, err2 := strconv.Atoi(b)
	if len(id) > maxID || err1 != nil || err2 != nil || n < 1 || n > of || of > maxParts {
		return nil, errors.New("X-Gang or X-Gang-Part is malformed: a name, and a part as N/OF")
	}
	return &core.Gang{ID: id, N: n, Of: of}, nil
}

// findClass finds a job's class, which is told twice.
func (f *Front) findClass(name, path string) (int, error) {
	first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	if name == "" {
		name = first
	}
	for i, c := range *f.classes.Load() {
		if c.Name == name && first == name && !c.Removed {
			return i, nil
		}
	}
	return 0, errors.New("X-Qos and the path do not name one known class")
}

// validID tells whether an id can be passed on in a header and a path.
func validID(id string) bool {
	if id == "" || len(id) > maxID {
		return false
	}
	return strings.IndexFunc(id, func(r rune) bool { return r <= ' ' || r >= 0x7f || r == '/' }) < 0
}
