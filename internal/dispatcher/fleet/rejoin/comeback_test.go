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

// member is the fleet, the core and the list of a member to which everything comes at once.
type member struct {
	t      *testing.T
	mu     sync.Mutex
	level  admission.Level
	keyed  bool
	stages chan stage.Stage
}

func (m *member) Standing(context.Context) (Standing, bool) {
	return Standing{Met: true, Log: stage.LogApplied, Copies: true}, true
}

// Stage holds what others hear of a stage against what the core was told by then.
func (m *member) Stage(s stage.Stage) {
	m.mu.Lock()
	level, keyed := m.level, m.keyed
	m.mu.Unlock()
	if s.Rights().Keyed && !keyed || s.Rights().Admits == stage.All && level != admission.Wide {
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
func (m *member) Compare()           {}
func (m *member) Renew(heard func()) { heard() }

// TestStageIsTrue guards clients of a member that has just come back: one that has heard of its
// stage and sends it a keyed job must not be turned away because its core has not.
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
