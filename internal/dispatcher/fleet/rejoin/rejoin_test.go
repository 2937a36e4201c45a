package rejoin

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/fleet/recovery/admission"
	"frosttide/internal/dispatcher/fleet/recovery/stage"
)

// fakeMember fakes the fleet, the core and the runner table of a member for which all evidence is
// available at once.
type fakeMember struct {
	t      *testing.T
	mu     sync.Mutex
	level  admission.Level
	keyed  bool
	stages chan stage.Stage // the published stages
}

func (m *fakeMember) State(context.Context) (FleetState, bool) {
	return FleetState{PeerAlive: true, Log: stage.LogApplied, ReplicasCompared: true}, true
}

// SetStage checks that the core was given the rights of a stage before the stage is published.
func (m *fakeMember) SetStage(s stage.Stage) {
	m.mu.Lock()
	level, keyed := m.level, m.keyed
	m.mu.Unlock()
	if s.Rights().KeyedJobs && !keyed || s.Rights().Admission == stage.AdmitAll && level != admission.Unlimited {
		m.t.Errorf("published stage %q while the core has admission level %v and keyed jobs %t; want the stage's rights applied first", s, level, keyed)
	}
	m.stages <- s
}

func (m *fakeMember) SetAdmission(level admission.Level, keyed bool, _, _ int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.level, m.keyed = level, keyed
}

func (m *fakeMember) RejoinProgress(receive func(core.RejoinProgress)) {
	receive(core.RejoinProgress{Listed: 4, Unrestricted: true})
}
func (m *fakeMember) SetWarmUpPeers(int) {}
func (m *fakeMember) CompareReplicas()   {}
func (m *fakeMember) Renew(done func())  { done() }

// TestStageIsTrue checks that a stage is published only after the core was given its rights.
// Otherwise the core could reject a keyed job of a client that has seen the published stage.
func TestStageIsTrue(t *testing.T) {
	m := &fakeMember{t: t, level: admission.Closed, stages: make(chan stage.Stage, 16)}
	log := logrus.New()
	log.SetOutput(io.Discard)
	a := New(Config{Dispatchers: 3, Paced: true, Bounds: stage.Defaults()}, m, m, m, logrus.NewEntry(log))
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(10*time.Second))
	defer cancel()
	runEnded := make(chan struct{})
	go func() {
		defer close(runEnded)
		a.Run(ctx)
	}()
	seen := map[stage.Stage]bool{}
	for !seen[stage.Full] {
		select {
		case s := <-m.stages:
			seen[s] = true
		case <-runEnded:
			t.Fatalf("Run ended before the full stage was published; published: %v", seen)
		}
	}
	cancel()
	<-runEnded
	if !seen[stage.Probation] {
		t.Errorf("got published stages %v, want probation among them", seen)
	}
}
