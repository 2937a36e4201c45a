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

// maxParts bounds the parts of a gang.
const maxParts = 1 << 16

// What may be wrong with the headers of a job. The texts are the bodies of the
// responses.
var (
	errID       = errors.New("X-Trace-Id is missing or malformed")
	errResource = errors.New("the request target is not a path")
	errKey      = errors.New("Idempotency-Key is missing")
	errExpiry   = errors.New("X-Expires-In-Ms is missing or malformed")
	errGang     = errors.New("X-Gang or X-Gang-Part is malformed: a name, and a part as N/OF")
	errClass    = errors.New("X-Qos and the path do not name one known class")
)

// parseJob parses a job's headers; received is when they arrived. It fails with one
// of the errors above, or with one that names a malformed property.
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
		return nil, errID
	}
	if !strings.HasPrefix(job.Resource, "/") {
		return nil, errResource
	}
	if (*f.classes.Load())[class].Keyed && job.Key == "" {
		return nil, errKey
	}
	ms, err := strconv.ParseInt(h.Get("X-Expires-In-Ms"), 10, 64)
	if err != nil || ms <= 0 || ms > math.MaxInt32 {
		return nil, errExpiry
	}
	job.Deadline = received.Add(time.Duration(ms)*time.Millisecond - transitAllowance)
	if job.Gang, err = parseGang(h); err != nil {
		return nil, err
	}
	job.Hint = parseHint(h)
	if name := h.Get("X-Customer"); name != "" { // a name that is not in the settings has no quota
		job.Tenant = slices.Index(*f.tenants.Load(), name) + 1
	}
	if c, err := r.Cookie("k"); err == nil {
		subject := fnv.New64a() // only equality matters
		subject.Write([]byte(c.Value))
		job.Subject = subject.Sum64()
	}
	if err := f.parseProperties(job, h.Get("X-Props")); err != nil {
		return nil, err
	}
	return job, nil
}

// parseHint returns the size hint, 0 without a valid one: it is a rough estimate at
// best, so a malformed one is ignored.
func parseHint(h http.Header) time.Duration {
	hint, err := strconv.ParseInt(h.Get("X-Size-Hint"), 10, 64)
	if err != nil || hint <= 0 || hint >= math.MaxInt32 {
		return 0
	}
	return time.Duration(hint) * time.Microsecond
}

// parseProperties sets the slots and the memory of a job from NAME=VALUE pairs
// separated by commas. Unknown names are ignored.
func (f *Front) parseProperties(job *core.Job, text string) error {
	for pair := range strings.SplitSeq(text, ",") {
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

// parseGang returns which part of a gang a job is: X-Gang names the gang,
// X-Gang-Part is N/OF. It returns nil without X-Gang, and fails with errGang.
func parseGang(h http.Header) (*core.Gang, error) {
	id := h.Get("X-Gang")
	if id == "" {
		return nil, nil
	}
	part, total, _ := strings.Cut(h.Get("X-Gang-Part"), "/")
	n, errPart := strconv.Atoi(part)
	of, errTotal := strconv.Atoi(total)
	if len(id) > maxID || errPart != nil || errTotal != nil || n < 1 || n > of || of > maxParts {
		return nil, errGang
	}
	return &core.Gang{ID: id, N: n, Of: of}, nil
}

// findClass returns the number of a job's class, which the header and the first
// segment of the path name. It fails with errClass.
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
	return 0, errClass
}

// validID reports whether an ID can be passed on in a header and a path.
func validID(id string) bool {
	if id == "" || len(id) > maxID {
		return false
	}
	return strings.IndexFunc(id, func(r rune) bool { return r <= ' ' || r >= 0x7f || r == '/' }) < 0
}
