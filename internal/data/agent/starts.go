package agent

import (
	"maps"
	"slices"
	"time"

	"frosttide/internal/protocol"
)

// attempt is the telling of a start that the runner does not list.
type attempt struct {
	run    uint32
	since  time.Duration
	beats  int // that were answered with the start since
	barred int // that were answered with a stop since
}

const (
	// refusedAfter and refusedBeats are how long, and for how many beats, a start may stay without effect.
	refusedAfter = 1500 * time.Millisecond
	refusedBeats = 5
	// barBeats is how many beats are answered with a stop until the run surely never begins: the answer to
	// the first may have been dropped for coming late.
	barBeats = 3
)

// fence is a run that is wanted no longer though the runner has not listed it: its start may be under way to the
// runner, or may never have been told.
type fence struct {
	run    uint32
	barred int // beats that were answered with a stop
}

// barFenced bars the runs that are wanted no longer and not listed. One that the runner has still not listed after
// enough stops never begins, which the head waits to hear: until then it keeps their room.
func (m *Machine) barFenced(r *runner, a *Answer) {
	for _, task := range slices.Sorted(maps.Keys(r.fenced)) {
		f := r.fenced[task]
		if r.running[task] != 0 {
			if r.running[task] >= f.run {
				delete(r.fenced, task) // it is stopped as any that is not wanted, and its end is listed
			}
			continue
		}
		f.barred++
		a.Stop = append(a.Stop, &protocol.RunRef{Task: task, Run: f.run})
		if f.barred > barBeats {
			delete(r.fenced, task)
			r.refused[task] = f.run
			m.nextReport = 0
		}
	}
}

// startOrBar has the runner start a wanted run that it does not list. One that it does not start though it was
// told again and again is barred by a stop and reported as refused: runners silently pass over a run that
// is not above one stopped there.
func (m *Machine) startOrBar(r *runner, w *protocol.RunOrder, a *Answer) {
	task := w.GetTask()
	if r.running[task] == w.GetRun() {
		delete(r.told, task)
		return
	}
	t := r.told[task]
	if t == nil || t.run != w.GetRun() {
		t = &attempt{run: w.GetRun(), since: m.now}
		r.told[task] = t
	}
	if t.beats < refusedBeats || m.now-t.since < refusedAfter {
		t.beats++
		a.Start = append(a.Start, w)
		return
	}
	t.barred++
	a.Stop = append(a.Stop, &protocol.RunRef{Task: task, Run: w.GetRun()})
	if t.barred > barBeats {
		delete(r.told, task)
		delete(r.wanted, task)
		r.refused[task] = w.GetRun()
		m.nextReport = 0
	}
}
