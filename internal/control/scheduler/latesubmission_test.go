package scheduler

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"frosttide/internal/protocol"
)

// TestLateSubmissionIsNotAccepted guards against a job that runs although its client has given it up:
// a submission that arrives late was accepted after the cancellation had been answered with 410 (or
// with 200, and the ended job had expired since).
func TestLateSubmissionIsNotAccepted(t *testing.T) {
	const id = "00000000000000aa"
	late := func(queue string) *protocol.Submit {
		return &protocol.Submit{Id: id, Queue: queue, Spec: "late", Stages: []*protocol.Stage{stage(1, 1000)}}
	}
	tests := []struct {
		name   string
		before func(h *harness)
		queue  string // of the cancellation
		status uint32
		late   int // status of the late submission
	}{
		{"unknown job", func(*harness) {}, "fast", http.StatusGone, http.StatusGone},
		{"canceled by an operator", func(*harness) {}, "", http.StatusGone, http.StatusGone},
		{"the queue has another name now", func(*harness) {}, "slow", http.StatusGone, http.StatusGone},
		{"canceled twice", func(h *harness) { h.request(cancelRequest(id, "fast")) }, "fast", http.StatusGone, http.StatusGone},
		{"job of another queue that has ended", func(h *harness) {
			h.submitStatus(late("slow"))
			h.request(cancelRequest(id, "slow"))
			h.wait(50 * time.Second)
		}, "fast", http.StatusGone, http.StatusConflict},
		{"job that has ended", func(h *harness) {
			h.submitStatus(late("fast"))
			h.request(cancelRequest(id, "fast"))
			h.wait(50 * time.Second)
		}, "fast", http.StatusOK, http.StatusOK},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			h.wait(2 * time.Minute) // the head has served for longer than StatusRetention
			test.before(h)
			require.EqualValues(t, test.status, h.request(cancelRequest(id, test.queue)).GetStatus())
			requireNothingToRun := func(status int) {
				t.Helper()
				require.Equal(t, status, h.submitStatus(late("fast")))
				require.Zero(t, h.scheduler.queue("svc").waitingTasks, "the job is going to run")
			}
			requireNothingToRun(test.late)
			h.wait(30 * time.Second)
			requireNothingToRun(test.late)
			h.elect() // all members were killed; the new head has only the store
			requireNothingToRun(test.late)
			h.wait(70 * time.Second) // StatusRetention, which the new head counts anew
			require.Equal(t, http.StatusOK, h.submitStatus(late("fast")), "the ID must be free again in the end")
		})
	}
}

// TestTooManyCanceledIDs checks that a cancellation that can't be recorded is not answered with 410.
func TestTooManyCanceledIDs(t *testing.T) {
	h := newHarness(t)
	for i := 0; ; i++ {
		if h.scheduler.jobs.AddTombstone(jobID(i), "fast", h.wall()) != nil {
			break
		}
	}
	reply := h.request(cancelRequest("ffffffffffffffff", "fast"))
	require.EqualValues(t, http.StatusServiceUnavailable, reply.GetStatus())
	require.NotZero(t, reply.GetRetryAfterMs())
	require.EqualValues(t, http.StatusGone, h.request(cancelRequest("no ID", "fast")).GetStatus(), "no job with this ID is ever accepted")
}

// wait advances the time in steps of a second and commits what becomes due.
func (h *harness) wait(d time.Duration) {
	for until := h.now + d; h.now < until; h.now += time.Second {
		h.commit()
	}
}
