package scheduler

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"frosttide/internal/protocol"
)

// TestSameJobAndUnknownQueue checks that a repeated submission is accepted as one job, and that invalid requests are
// rejected.
func TestSameJobAndUnknownQueue(t *testing.T) {
	h := newHarness(t)
	h.submit(1, "fast", stage(1, 100))
	h.submit(1, "fast", stage(1, 100))
	require.Len(t, h.scheduler.JobStatuses(), 1, "the same job was accepted twice")
	const unknown = "0000000000000002"
	for _, tc := range []struct {
		name    string
		request *protocol.ClientRequest
		want    int
	}{
		{"unknown queue", submitRequest(&protocol.Submit{Id: unknown, Queue: "none", Stages: []*protocol.Stage{stage(1, 1)}}), http.StatusNotFound},
		{"job without a step", submitRequest(&protocol.Submit{Id: unknown, Queue: "fast"}), http.StatusBadRequest},
		{"cancel of an unknown job", cancelRequest(unknown, ""), http.StatusGone},
		{"unknown request", &protocol.ClientRequest{}, http.StatusBadRequest},
	} {
		t.Run(tc.name, func(t *testing.T) {
			require.EqualValues(t, tc.want, h.request(tc.request).GetStatus())
		})
	}
}

// TestOrdersOfTheOperator checks the replies to configuration updates: new, repeated, conflicting and with a version that
// is not newer.
func TestOrdersOfTheOperator(t *testing.T) {
	h := newHarness(t)
	require.EqualValues(t, http.StatusOK, h.configure(1, `{"Version":3}`))
	require.EqualValues(t, http.StatusPreconditionFailed, h.configure(1, `{"Version":4}`), "a different update of the same version was accepted before")
	require.EqualValues(t, http.StatusOK, h.configure(1, `{"Version":3}`), "a repeated update is acknowledged again")
	require.EqualValues(t, http.StatusBadRequest, h.configure(3, `{"Version":3}`), "the new version is not above the current one")
	require.EqualValues(t, http.StatusOK, h.configure(3, `{"Version":9}`))
	h.elect()
	require.EqualValues(t, http.StatusOK, h.configure(1, `{"Version":3}`), "a new head acknowledges a repeated update")
	require.EqualValues(t, 9, h.scheduler.CommittedConfig().Version)
}

// TestOrderThatIsNotUnicode guards against an order whose texts can't be encoded: it is refused and
// changes nothing, unless an earlier version of the program has taken it, which is acknowledged.
func TestOrderThatIsNotUnicode(t *testing.T) {
	h := newHarness(t)
	const body = `{"Version":3,"Upsert":{"Routes":[{"Name":"repetici` + "\xf3" + `n","Host":"h","PathPrefix":"/r/","TimeoutMs":3000,"Service":"svc"}]}}`
	items := h.store.Len()
	require.EqualValues(t, http.StatusBadRequest, h.configure(1, body))
	require.Equal(t, items, h.store.Len())
	require.EqualValues(t, 1, h.scheduler.CommittedConfig().Version)
	h.scheduler.updates.record(updateDigest(&protocol.ConfigOrder{Patch: true, IfMatch: 1, Body: []byte(body)}), &protocol.ConfigRecord{Version: 2}, h.scheduler.writes)
	require.EqualValues(t, http.StatusOK, h.configure(1, body))
	require.EqualValues(t, http.StatusOK, h.configure(1, `{"Version":4}`))
}

// TestSameOrderTwiceInAnEntry checks that an update that arrives twice before the next entry gets two positive replies.
func TestSameOrderTwiceInAnEntry(t *testing.T) {
	h := newHarness(t)
	for id := uint64(501); id <= 502; id++ {
		request := configRequest(&protocol.ConfigOrder{Patch: true, IfMatch: 1, Body: []byte(`{"Version":3}`)})
		request.Id = id
		h.scheduler.HandleRequest("client", request)
	}
	h.commit()
	require.EqualValues(t, http.StatusOK, h.replies[501].GetStatus())
	require.EqualValues(t, http.StatusOK, h.replies[502].GetStatus())
}

// TestOneIDInTwoQueues checks that a submission is rejected if its ID belongs to a job of another queue or with different
// content: the submitted job would never run.
func TestOneIDInTwoQueues(t *testing.T) {
	h := newHarness(t)
	const id = "00000000000000aa"
	job := func(queue, spec string) *protocol.Submit {
		return &protocol.Submit{Id: id, Queue: queue, Spec: spec, Stages: []*protocol.Stage{stage(1, 1000)}}
	}
	require.Equal(t, http.StatusOK, h.submitStatus(job("fast", "s")))
	again := job("fast", "s")
	again.AgeMs = 700
	check := func() {
		t.Helper()
		require.Equal(t, http.StatusOK, h.submitStatus(again), "the same job again")
		require.Equal(t, http.StatusConflict, h.submitStatus(job("slow", "s")))
		require.Equal(t, http.StatusConflict, h.submitStatus(job("fast", "other")))
		require.EqualValues(t, http.StatusGone, h.request(cancelRequest(id, "slow")).GetStatus(), "a job of another queue must look unknown")
	}
	check()
	h.elect()
	check()
	require.EqualValues(t, http.StatusOK, h.request(cancelRequest(id, "fast")).GetStatus())
	check() // the job has ended and its steps are no longer stored
	require.EqualValues(t, http.StatusOK, h.configure(1, `{"Version":2,"Remove":{"Routes":["fast"]}}`))
	require.Equal(t, http.StatusOK, h.submitStatus(job("slow", "s")), "the queue of the job is no longer configured")
}

// TestOrdersAreKnownWithinABound accepts more updates than maxKnownUpdates and repeats all of them: the newest are
// acknowledged again, older ones get no definite answer, and no more than maxKnownUpdates are stored.
func TestOrdersAreKnownWithinABound(t *testing.T) {
	h := newHarness(t)
	const changes = maxKnownUpdates + 50
	update := func(version int) string { return fmt.Sprintf(`{"Version":%d}`, version) }
	for version := 2; version <= changes; version++ {
		require.EqualValues(t, http.StatusOK, h.configure(uint64(version-1), update(version)))
	}
	check := func() {
		t.Helper()
		for version := 2; version <= changes; version++ {
			want := http.StatusOK
			if version <= changes-maxKnownUpdates {
				want = http.StatusServiceUnavailable
			}
			require.EqualValues(t, want, h.configure(uint64(version-1), update(version)), "version %d", version)
		}
		require.EqualValues(t, http.StatusPreconditionFailed, h.configure(changes-1, `{"Version":5000}`), "a different update of a version whose update is remembered")
		require.Len(t, h.scheduler.History(), maxKnownUpdates)
	}
	check()
	h.elect()
	check()
	stored := 0
	h.store.ForEach(func(key string, _ []byte) {
		if strings.HasPrefix(key, updatePrefix) {
			stored++
		}
	})
	require.Equal(t, maxKnownUpdates, stored)
}

// TestEndedJobsOutliveClockSteps checks that jobs that have ended recently are retained if the time of day jumps ahead by
// an hour, or if a new head takes over.
func TestEndedJobsOutliveClockSteps(t *testing.T) {
	h := newHarness(t)
	id := h.submit(1, "fast", stage(1, 1000))
	h.cancel(id)
	h.now += 2 * time.Minute // the head has served for longer than StatusRetention
	h.append()
	later := h.submit(2, "fast", stage(1, 1000))
	h.cancel(later)
	isRetained := func(id string, ahead time.Duration) bool {
		for range 3 {
			h.now += time.Second
			h.scheduler.Tick(h.now, h.wall()+ahead.Milliseconds(), h.now)
			h.entry()
		}
		return h.scheduler.Jobs().Get(id) != nil
	}
	require.False(t, isRetained(id, 0))
	require.True(t, isRetained(later, 0))
	h.scheduler.ClockStepped(h.now)
	require.True(t, isRetained(later, time.Hour), "the job was removed after the jump")
	h.elect()
	require.True(t, isRetained(later, time.Hour), "a new head can't tell how long ago the job ended")
	h.now += time.Minute
	require.False(t, isRetained(later, time.Hour), "the job is still there after StatusRetention")
}
