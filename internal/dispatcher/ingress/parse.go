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

// maxGangParts is the maximum number of parts of a gang.
const maxGangParts = 1 << 16

// Errors in the headers of a job. Their texts are the bodies of the error responses.
var (
	errInvalidTraceID = errors.New("X-Trace-Id is missing or malformed")
	errInvalidTarget  = errors.New("the request target is not a path")
	errMissingKey     = errors.New("Idempotency-Key is missing")
	errInvalidExpiry  = errors.New("X-Expires-In-Ms is missing or malformed")
	errInvalidGang    = errors.New("X-Gang or X-Gang-Part is malformed: a name, and a part as N/OF")
	errUnknownClass   = errors.New("X-Qos and the path do not name one known class")
)

// parseJob parses a job's headers; received is when they arrived. It returns one of the errors
// above, or an error that names an invalid property of X-Props.
func (f *Front) parseJob(r *http.Request, class int, received time.Time) (*core.Job, error) {
	h := r.Header
	job := &core.Job{
		ID:       h.Get("X-Trace-Id"),
		Method:   r.Method,
		Resource: r.RequestURI,
		Key:      h.Get("Idempotency-Key"),
		Class:    class,
		Retry:    h.Get("X-Second-Try") == "1",
		Slots:    1,
	}
	if !validID(job.ID) || len(h["X-Trace-Id"]) > 1 {
		return nil, errInvalidTraceID
	}
	if !strings.HasPrefix(job.Resource, "/") {
		return nil, errInvalidTarget
	}
	if (*f.classes.Load())[class].Keyed && job.Key == "" {
		return nil, errMissingKey
	}
	ms, err := strconv.ParseInt(h.Get("X-Expires-In-Ms"), 10, 64)
	if err != nil || ms <= 0 || ms > math.MaxInt32 {
		return nil, errInvalidExpiry
	}
	job.Deadline = received.Add(time.Duration(ms)*time.Millisecond - transitAllowance)
	if job.Gang, err = parseGang(h); err != nil {
		return nil, err
	}
	job.Hint = parseHint(h)
	if name := h.Get("X-Customer"); name != "" { // jobs of unknown tenants have no quota
		job.Tenant = slices.Index(*f.tenants.Load(), name) + 1
	}
	if c, err := r.Cookie("k"); err == nil {
		subject := fnv.New64a() // only compared for equality
		subject.Write([]byte(c.Value))
		job.Subject = subject.Sum64()
	}
	if err := f.parseProperties(job, h.Get("X-Props")); err != nil {
		return nil, err
	}
	return job, nil
}

// parseHint returns the client's estimate of the run time, from a header in microseconds. It
// returns 0 if the header is missing or malformed: the hint is only a rough estimate, so
// errors in it are ignored.
func parseHint(h http.Header) time.Duration {
	hint, err := strconv.ParseInt(h.Get("X-Size-Hint"), 10, 64)
	if err != nil || hint <= 0 || hint >= math.MaxInt32 {
		return 0
	}
	return time.Duration(hint) * time.Microsecond
}

// parseProperties sets the slots and the memory of a job from a comma-separated list of
// NAME=VALUE pairs. Unknown names are ignored. It returns an error if a value is malformed or
// the job needs more than the maximum number of slots.
func (f *Front) parseProperties(job *core.Job, list string) error {
	for pair := range strings.SplitSeq(list, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		field := map[string]*float64{"slots": &job.Slots, "memory": &job.Memory}[name]
		if field == nil {
			continue
		}
		var err error
		if *field, err = strconv.ParseFloat(value, 64); err != nil || *field < 0 || math.IsNaN(*field) || math.IsInf(*field, 0) {
			return fmt.Errorf("X-Props: %s is malformed", name)
		}
	}
	if job.Slots > f.cfg.MaxSlots {
		return fmt.Errorf("X-Props: slots=%g is more than any runner has", job.Slots)
	}
	return nil
}

// parseGang parses a job's membership in a gang: X-Gang is the ID of the gang, and X-Gang-Part
// is N/OF for part N of OF parts. It returns nil if there is no X-Gang, and errInvalidGang if
// a header is malformed.
func parseGang(h http.Header) (*core.Gang, error) {
	id := h.Get("X-Gang")
	if id == "" {
		return nil, nil
	}
	part, total, _ := strings.Cut(h.Get("X-Gang-Part"), "/")
	partNumber, errPart := strconv.Atoi(part)
	partCount, errTotal := strconv.Atoi(total)
	if len(id) > maxID || errPart != nil || errTotal != nil ||
		partNumber < 1 || partNumber > partCount || partCount > maxGangParts {
		return nil, errInvalidGang
	}
	return &core.Gang{ID: id, N: partNumber, Of: partCount}, nil
}

// findClass returns the number of a job's class. The first segment of the path names the class;
// name is the value of the X-Qos header, which must be equal to it or empty. It returns
// errUnknownClass if they differ, or if the class is unknown or removed.
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
	return 0, errUnknownClass
}

// validID reports whether an ID is valid: 1 to maxID bytes that can be used in a header and in
// a path segment.
func validID(id string) bool {
	if id == "" || len(id) > maxID {
		return false
	}
	return strings.IndexFunc(id, func(r rune) bool { return r <= ' ' || r >= 0x7f || r == '/' }) < 0
}
