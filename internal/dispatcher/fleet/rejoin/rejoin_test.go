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

// member fakes the fleet, the core and the table of a member that receives all evidence at once.
type member struct {
	t      *testing.T
	mu     sync.Mutex
	level  admission.Level
	keyed  bool
	stages chan stage.Stage
}

func (m *member) State(context.Context) (FleetState, bool) {
	return FleetState{PeerAlive: true, Log: stage.LogApplied, ReplicasCompared: true}, true
}

// SetStage checks a published stage against what the core was told before.
func (m *member) SetStage(s stage.Stage) {
	m.mu.Lock()
	level, keyed := m.level, m.keyed
	m.mu.Unlock()
	if s.Rights().KeyedJobs && !keyed || s.Rights().Admission == stage.AdmitAll && level != admission.Unlimited {
		m.t.Errorf("it says that it is at %q, its core has a door at %v and keyed jobs %t", s, level, keyed)
	}
	m.stages <- s
}

func (m *member) SetAdmission(level admission.Level, keyed bool, _, _ int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.level, m.keyed = level, keyed
}

func (m *member) RejoinProgress(to func(core.RejoinProgress)) {
	to(core.RejoinProgress{Listed: 4, Unrestricted: true})
}
func (m *member) SetWarmUpPeers(int) {}
func (m *member) CompareReplicas()   {}
func (m *member) Renew(done func())  { done() }

// TestStageIsTrue protects the clients of a rejoined member: one that has seen the published stage
// and sends it a keyed job must not be rejected because the core does not act by the stage yet.
func TestStageIsTrue(t *testing.T) {
	m := &member{t: t, level: admission.Closed, stages: make(chan stage.Stage, 16)}
	log := logrus.New()
	log.SetOutput(io.Discard)
	a := New(Config{Dispatchers: 3, Paced: true, Bounds: stage.Defaults()}, m, m, m, logrus.NewEntry(log))
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(10*time.Second))
	defer cancel()
	over := make(chan struct{})
	go func() {
		defer close(over)
		a.Run(ctx)
	}()
	seen := map[stage.Stage]bool{}
	for !seen[stage.Full] {
		select {
		case s := <-m.stages:
			seen[s] = true
		case <-over:
			t.Fatalf("it has come as far as %v", seen)
		}
	}
	cancel()
	<-over
	if !seen[stage.Probation] {
		t.Errorf("it was never at probation: %v", seen)
	}
}
