package jobs

import "container/heap"

// ReleaseOccurrences releases the occurrences whose scheduled times have come: their steps exist from then on, and
// those without a dependency are ready.
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

// nextScheduledMs returns the scheduled time of the first occurrence that has not been released.
func (j *Job) nextScheduledMs() int64 { return j.ScheduledMs(len(j.occurrences)) }

// addOccurrence adds the next occurrence of a job, with a step for each stage.
func (j *Job) addOccurrence() *Occurrence {
	o := &Occurrence{Job: j, Number: len(j.occurrences)}
	for i, stage := range j.Stages {
		tasks := make([]Task, stage.GetCount())
		o.Steps = append(o.Steps, &Step{Job: j, Occurrence: o, Number: i, Stage: stage, Tasks: tasks, Waiting: len(tasks)})
	}
	j.occurrences = append(j.occurrences, o)
	return o
}

// enqueueReady has TakeReady return a step that has tasks to start.
func (t *Table) enqueueReady(s *Step) {
	if s.Waiting > 0 && s.Ready() {
		t.ready = append(t.ready, s)
	}
}

// scheduleHeap orders jobs by the scheduled times of their next occurrences. It implements heap.Interface.
type scheduleHeap []*Job

// Len is part of heap.Interface.
func (h scheduleHeap) Len() int { return len(h) }

// Less is part of heap.Interface.
func (h scheduleHeap) Less(a, b int) bool { return h[a].nextScheduledMs() < h[b].nextScheduledMs() }

// Swap is part of heap.Interface.
func (h scheduleHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

// Push is part of heap.Interface.
func (h *scheduleHeap) Push(x any) { *h = append(*h, x.(*Job)) }

// Pop is part of heap.Interface.
func (h *scheduleHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
