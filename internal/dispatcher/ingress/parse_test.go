package ingress

import (
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/monotime"
)

// TestParseJobTenant guards the quotas of tenants: a job gets the number of the tenant named in
// X-Customer under the current settings, and 0 if the name is unknown or missing.
func TestParseJobTenant(t *testing.T) {
	f := New(Config{Classes: []Class{{Name: "a"}}, Tenants: []string{"north", "south"}, MaxSlots: 8}, nil, nil, nil, logrus.NewEntry(logrus.New()))
	parseTenant := func(name string) int {
		r := httptest.NewRequest("POST", "/a", nil)
		r.Header.Set("X-Trace-Id", "x")
		r.Header.Set("X-Expires-In-Ms", "100")
		if name != "" {
			r.Header.Set("X-Customer", name)
		}
		job, err := f.parseJob(r, 0, time.Now())
		if err != nil {
			t.Fatal(err)
		}
		return job.Tenant
	}
	for name, want := range map[string]int{"north": 1, "south": 2, "east": 0, "": 0} {
		if got := parseTenant(name); got != want {
			t.Errorf("X-Customer %q: tenant %d, want %d", name, got, want)
		}
	}
	f.SetTenants([]string{"south"})
	if got := parseTenant("south"); got != 1 {
		t.Errorf("after SetTenants: tenant %d, want 1", got)
	}
}

// TestTransferDeadline guards clients that are handed over at the same time as many others: a
// transfer may take until the job's deadline or the end of this process, whichever is first,
// and is not limited further.
func TestTransferDeadline(t *testing.T) {
	f := New(Config{}, nil, nil, nil, logrus.NewEntry(logrus.New()))
	now := time.Now()
	answerBy := now.Add(3 * time.Second)
	f.answerBy.Store(&answerBy)
	for name, tc := range map[string]struct{ deadline, want time.Time }{
		"the process ends first":        {now.Add(time.Minute), answerBy},
		"the job's deadline ends first": {now.Add(time.Second), now.Add(time.Second)},
	} {
		t.Run(name, func(t *testing.T) {
			got := f.transferDeadline(&core.MovedRequest{Deadline: monotime.Of(tc.deadline)})
			if got.Sub(tc.want).Abs() > 200*time.Millisecond {
				t.Errorf("transfer deadline in %v, want %v", got.Sub(now), tc.want.Sub(now))
			}
		})
	}
}

// TestAdoptCapacity guards clients that are handed over faster than they are served: Adopt must
// accept MaxConnections connections, and reject one more.
func TestAdoptCapacity(t *testing.T) {
	f := New(Config{MaxConnections: 200}, nil, nil, nil, logrus.NewEntry(logrus.New()))
	for i := range 201 {
		c, _ := net.Pipe()
		if adopted := f.Adopt(c, nil, nil); adopted != (i < 200) {
			t.Fatalf("connection %d of MaxConnections = 200: adopted %t", i, adopted)
		}
	}
}
