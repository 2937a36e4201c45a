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

// TestTenant guards the quotas: a job belongs to its tenant by the name in the settings in
// force, and one of a name that they lack to nobody.
func TestTenant(t *testing.T) {
	f := New(Config{Classes: []Class{{Name: "a"}}, Tenants: []string{"north", "south"}, MaxSlots: 8}, nil, nil, nil, logrus.NewEntry(logrus.New()))
	tenant := func(name string) int {
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
		if got := tenant(name); got != want {
			t.Errorf("%q is tenant %d, want %d", name, got, want)
		}
	}
	f.SetTenants([]string{"south"})
	if got := tenant("south"); got != 1 {
		t.Errorf("after new settings it is tenant %d, want 1", got)
	}
}

// TestTransferDeadline guards clients that are handed over to a newer process at once
// with many others: the time for that ends with the job's own deadline or with this
// process, not before.
func TestTransferDeadline(t *testing.T) {
	f := New(Config{}, nil, nil, nil, logrus.NewEntry(logrus.New()))
	now := time.Now()
	end := now.Add(3 * time.Second)
	f.answerBy.Store(&end)
	for name, tc := range map[string]struct{ deadline, want time.Time }{
		"the process ends first":        {now.Add(time.Minute), end},
		"the job's deadline ends first": {now.Add(time.Second), now.Add(time.Second)},
	} {
		t.Run(name, func(t *testing.T) {
			got := f.transferDeadline(&core.MovedRequest{Deadline: monotime.Of(tc.deadline)})
			if got.Sub(tc.want).Abs() > 200*time.Millisecond {
				t.Errorf("the job has to be there %v from now, want %v", got.Sub(now), tc.want.Sub(now))
			}
		})
	}
}

// TestAdoptAll guards clients that are handed over faster than they are served: there is
// room for as many as a process may have, and one more is refused.
func TestAdoptAll(t *testing.T) {
	f := New(Config{MaxConnections: 200}, nil, nil, nil, logrus.NewEntry(logrus.New()))
	for i := range 201 {
		c, _ := net.Pipe()
		if adopted := f.Adopt(c, nil, nil); adopted != (i < 200) {
			t.Fatalf("connection %d: adopted %t", i, adopted)
		}
	}
}
