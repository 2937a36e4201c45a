package jobs

import "container/heap"

// ReleaseOccurrences releases the occurrences that are due at nowMs: it creates their steps, and
// those without dependencies become ready.
func (t *Table) ReleaseOccurrences(nowMs int64) {
	for t.schedule.Len() > 0 {
		j := t.schedule[0]
		if j.State.Final() || len(j.occurrences) == j.OccurrenceCount {
			heap.Pop(&t.schedule)
			continue
		}
		if j.nextScheduledMs() > nowMs {
			return
		}
		o := j.addOccurrence()
		heap.Fix(&t.schedule, 0)
		for _, s := range o.Steps {
			t.enqueueReady(s)
		}
	}
}

// nextScheduledMs returns the scheduled time of the first occurrence that is not released yet.
func (j *Job) nextScheduledMs() int64 { return j.ScheduledMs(len(j.occurrences)) }

// addOccurrence appends the next occurrence of the job, with one step per stage.
func (j *Job) addOccurrence() *Occurrence {
	o := &Occurrence{Job: j, Number: len(j.occurrences)}
	for i, stage := range j.Stages {
		tasks := make([]Task, stage.GetCount())
		o.Steps = append(o.Steps, &Step{Job: j, Occurrence: o, Number: i, Stage: stage, Tasks: tasks, Waiting: len(tasks)})
	}
	j.occurrences = append(j.occurrences, o)
	return o
}

// enqueueReady queues a step for TakeReady if it is ready and has waiting tasks.
func (t *Table) enqueueReady(s *Step) {
	if s.Waiting > 0 && s.Ready() {
		t.ready = append(t.ready, s)
	}
}

// scheduleHeap is a min-heap of jobs by the scheduled time of their next occurrence. It implements
// heap.Interface.
type scheduleHeap []*Job

// Len implements sort.Interface.
func (h scheduleHeap) Len() int { return len(h) }

// Less implements sort.Interface.
func (h scheduleHeap) Less(a, b int) bool { return h[a].nextScheduledMs() < h[b].nextScheduledMs() }

// Swap implements sort.Interface.
func (h scheduleHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

// Push implements heap.Interface.
func (h *scheduleHeap) Push(x any) { *h = append(*h, x.(*Job)) }

// Pop implements heap.Interface.
func (h *scheduleHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
