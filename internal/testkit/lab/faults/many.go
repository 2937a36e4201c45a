package faults

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"frosttide/internal/dispatcher/fleet/workflow/flow"
)

// concurrentStarters is how many clients begin workflows concurrently.
const concurrentStarters = 16

// beginWorkflows has clients begin N workflows of two steps, through members in turn, and then
// disconnect.
func (r *scriptRun) beginWorkflows(w []string) error {
	n, err := strconv.Atoi(w[1])
	if err != nil || n < 1 || n > 5000 || len(w) != 5 {
		return errors.New("many N LEASE at WHO is wanted, up to 5000")
	}
	lease, err := time.ParseDuration(w[2])
	if err != nil {
		return err
	}
	who, err := r.resolveMembers(w[4])
	if err != nil {
		return err
	}
	var all sync.WaitGroup
	var mu sync.Mutex
	var first error
	next := make(chan int)
	for range concurrentStarters {
		all.Go(func() {
			for i := range next {
				if err := r.beginWorkflow(who[i%len(who)], fmt.Sprint("many-", i), lease); err != nil {
					mu.Lock()
					first = errors.Join(first, err)
					mu.Unlock()
				}
			}
		})
	}
	for i := range n {
		next <- i
	}
	close(next)
	all.Wait()
	r.workflowCount, r.workflowLeaseEnd = n, time.Now().Add(lease)
	return first
}

// beginWorkflow begins one workflow and executes its two steps.
func (r *scriptRun) beginWorkflow(m *member, id string, lease time.Duration) error {
	// Plain values: Marshal does not fail.
	text, _ := json.Marshal(map[string]any{"id": id, "deadline_ms": (10 * time.Minute).Milliseconds(), "lease_ms": lease.Milliseconds()})
	if err := r.postUntilDone(m, "/api/workflow/begin", string(text)); err != nil {
		return err
	}
	for n := 1; n <= 2; n++ {
		status, text := r.flowJob(m, id, n, false)
		// The client retries.
		for again := 0; status == http.StatusServiceUnavailable && again < maxStepRetries; again++ {
			<-time.After(100 * time.Millisecond)
			status, text = r.flowJob(m, id, n, false)
		}
		if status != http.StatusOK {
			return fmt.Errorf("step %d of %s was answered %d %s", n, id, status, text)
		}
	}
	return nil
}

// maxStepRetries is how often a client retries a step that was refused with status 503.
const maxStepRetries = 30

// awaitWorkflowsUndone waits until all workflows of the last step many are undone, and logs how
// long that took from the end of their leases.
func (r *scriptRun) awaitWorkflowsUndone(within time.Duration) error {
	deadline := time.Now().Add(within)
	for {
		undone := 0
		for i := range r.workflowCount {
			if f, err := r.findFlow(r.running()[0], fmt.Sprint("many-", i)); err == nil && f != nil && f.Phase == flow.Undone {
				undone++
			} else {
				break
			}
		}
		if undone == r.workflowCount {
			break
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("after %s %d of %d are undone", within, undone, r.workflowCount)
		}
		<-time.After(50 * time.Millisecond)
	}
	took := time.Since(r.workflowLeaseEnd)
	r.logf("%d workflows are undone %.1f s after the end of their leases", r.workflowCount, took.Seconds())
	if r.baselineRate > 0 {
		from, to := int(r.workflowLeaseEnd.Sub(r.observer.began)/tenth), int(time.Since(r.observer.began)/tenth)
		served, other := r.servedIn(from, to)
		r.logf("clients had %.2f of their usual jobs meanwhile, %d of %d were not served", float64(served)/(r.baselineRate*float64(max(to-from, 1))/10), other, served+other)
	}
	return nil
}
