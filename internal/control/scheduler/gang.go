package scheduler

import "cmp"

// placeGang starts all tasks of a gang or none.
func (p *pass) placeGang(w *waitingStep) verdict {
	s, want := w.step, w.want
	if !s.GangIdle() {
		return passed
	}
	want.Avoid = ""
	names := make([]string, len(s.Tasks))
	for i := range s.Tasks {
		names[i] = s.TaskID(i)
		want.Avoid = cmp.Or(want.Avoid, s.Tasks[i].LastFailed)
	}
	want.LastAttempt = s.Failures(0)+1 >= p.d.maxAttempts(s.Job.ID)
	if p.covered(blockageOf(w)) {
		return passed
	}
	picked := p.d.fleet.PickGang(want, names, s.Stage.GetSameRack(), p.d.now)
	if picked == nil && s.Stage.GetSameRack() {
		picked = p.d.fleet.PickGang(want, names, false, p.d.now)
	}
	if picked == nil {
		return p.blockGang(w)
	}
	run, saved := s.NextRun(0), s.GangSaved()
	for i, r := range picked {
		p.d.start(s, i, run, r, saved)
	}
	return goOn
}

// blockGang notes that there is no room for a gang.
func (p *pass) blockGang(w *waitingStep) verdict {
	if p.doubts && w.want.Avoid != "" {
		return passed // it waits for other runners; others need not
	}
	w.want.LastAttempt = w.want.LastAttempt && p.doubts
	if w.want.AntiAffinity == 0 {
		p.note(blockageOf(w))
	}
	if w.want.LastAttempt {
		return passed
	}
	return blocked
}
