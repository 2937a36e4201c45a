package scheduler

import "cmp"

// placeGang starts all tasks of a gang or none.
func (p *pass) placeGang(w *waitingStep) {
	s, want := w.step, w.want
	if !s.GangIdle() {
		return
	}
	want.Avoid = ""
	names := make([]string, len(s.Tasks))
	for i := range s.Tasks {
		names[i] = s.TaskID(i)
		want.Avoid = cmp.Or(want.Avoid, s.Tasks[i].LastFailed)
	}
	want.LastAttempt = s.Failures(0)+1 >= p.d.maxAttempts(s.Job.ID)
	if p.covered(blockageOf(w)) {
		return
	}
	picked := p.d.fleet.PickGang(want, names, s.Stage.GetSameRack(), p.d.now)
	if picked == nil && s.Stage.GetSameRack() {
		picked = p.d.fleet.PickGang(want, names, false, p.d.now)
	}
	if picked == nil {
		p.blockGang(w)
		return
	}
	run, saved := s.NextRun(0), s.GangSaved()
	for i, r := range picked {
		p.d.start(s, i, run, r, saved)
	}
}

// blockGang notes that there is no room for a gang. One that waits for other runners, as it has failed where it was,
// or that AntiAffinity may have kept apart, says nothing of others.
func (p *pass) blockGang(w *waitingStep) {
	if p.doubts && w.want.Avoid != "" || w.want.AntiAffinity > 0 {
		return
	}
	w.want.LastAttempt = w.want.LastAttempt && p.doubts
	p.note(blockageOf(w))
}
