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

func TestSameJobAndUnknownQueue(t *testing.T) {
	h := newHarness(t)
	h.submit(1, "fast", stage(1, 100))
	h.submit(1, "fast", stage(1, 100))
	require.Len(t, h.scheduler.JobStatuses(), 1)
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

func TestOrdersOfTheOperator(t *testing.T) {
	h := newHarness(t)
	require.EqualValues(t, http.StatusOK, h.configure(1, `{"Version":3}`))
	require.EqualValues(t, http.StatusPreconditionFailed, h.configure(1, `{"Version":4}`), "another was accepted on the same version")
	require.EqualValues(t, http.StatusOK, h.configure(1, `{"Version":3}`), "it was accepted earlier")
	require.EqualValues(t, http.StatusBadRequest, h.configure(3, `{"Version":3}`), "not above the current version")
	require.EqualValues(t, http.StatusOK, h.configure(3, `{"Version":9}`))
	h.elect()
	require.EqualValues(t, http.StatusOK, h.configure(1, `{"Version":3}`), "a new head knows it too")
	require.EqualValues(t, 9, h.scheduler.CommittedConfig().Version)
}

// TestSameOrderTwiceInAnEntry checks that an update that arrives twice before anything is written is accepted once.
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

// TestOneIDInTwoQueues checks that a job whose ID is that of another queue's job, or that has other content, is
// rejected: it would never run.
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
		require.EqualValues(t, http.StatusGone, h.request(cancelRequest(id, "slow")).GetStatus(), "it is a job of another queue")
	}
	check()
	h.elect()
	check()
	require.EqualValues(t, http.StatusOK, h.request(cancelRequest(id, "fast")).GetStatus())
	check() // it has ended, and its steps are forgotten
	require.EqualValues(t, http.StatusOK, h.configure(1, `{"Version":2,"Remove":{"Routes":["fast"]}}`))
	require.Equal(t, http.StatusOK, h.submitStatus(job("slow", "s")), "its own queue is no longer configured")
}

// TestOrdersAreKnownWithinABound accepts more updates than are known by their digests: the newest are acknowledged
// again, older ones get no definite answer, and the state stays within the bound.
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
		require.EqualValues(t, http.StatusPreconditionFailed, h.configure(changes-1, `{"Version":5000}`), "another update of a version that is known")
		require.Len(t, h.scheduler.History(), maxKnownUpdates)
	}
	check()
	h.elect()
	check()
	kept := 0
	h.store.ForEach(func(key string, _ []byte) {
		if strings.HasPrefix(key, updatePrefix) {
			kept++
		}
	})
	require.Equal(t, maxKnownUpdates, kept)
}

// TestEndedJobsOutliveClockSteps has the time of day jump by an hour: jobs that ended shortly before stay known.
func TestEndedJobsOutliveClockSteps(t *testing.T) {
	h := newHarness(t)
	id := h.submit(1, "fast", stage(1, 1000))
	h.cancel(id)
	h.now += 2 * time.Minute // the head has served for longer than states are kept
	h.append()
	later := h.submit(2, "fast", stage(1, 1000))
	h.cancel(later)
	known := func(id string, ahead time.Duration) bool {
		for range 3 {
			h.now += time.Second
			h.scheduler.Tick(h.now, h.wall()+ahead.Milliseconds(), h.now)
			h.scheduler.Entry(h.now)
		}
		return h.scheduler.Jobs().Get(id) != nil
	}
	require.False(t, known(id, 0))
	require.True(t, known(later, 0))
	h.scheduler.ClockStepped(h.now)
	require.True(t, known(later, time.Hour))
	h.elect()
	require.True(t, known(later, time.Hour), "a new head does not know how long ago it ended")
	h.now += time.Minute
	require.False(t, known(later, time.Hour))
}
