package routetable

import (
	"cmp"
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/internal/dispatcher/routetable/stream"
)

// startWatch starts the only watch, unless there is one. It requests the full membership first if
// the version held may not be one of this discovery's. It also does so if the first update from a
// discovery at a new address has a lower version: a watch from a version of the old address would
// miss changes.
func (t *Table) startWatch() {
	if t.watchActive {
		return
	}
	if !t.versionKnown {
		t.fetchThenWatch()
		return
	}
	t.watchActive = true
	t.startCall("?watch=1&from="+strconv.FormatUint(t.version, 10), true, func(t *Table, err error) error {
		t.watchActive, t.watchComplete = false, false
		if errors.Is(err, errVersionMismatch) {
			t.version, t.versionKnown = 0, false // not comparable with the next full list
			t.fetchThenWatch()
			return nil
		}
		return cmp.Or(err, errWatchEnded)
	})
}

// fetchThenWatch requests the full membership and then starts the watch.
func (t *Table) fetchThenWatch() {
	t.watchActive = true
	t.startCall("", false, func(t *Table, err error) error {
		t.watchActive = false
		if t.versionKnown {
			t.startWatch()
			return err
		}
		return cmp.Or(err, errNoUpdate)
	})
}

// watchAt starts the watch at a time on the table's clock. Until then watchActive prevents another
// start.
func (t *Table) watchAt(at time.Duration) {
	t.watchActive = true
	callsContext := t.callsContext
	start := func(t *Table) {
		if callsContext.Err() == nil {
			t.watchActive = false
			t.startWatch()
		}
	}
	if wait := at - t.now(); wait > 0 {
		time.AfterFunc(wait, func() { t.box.Put(start) })
		return
	}
	start(t)
}

// retryInterval returns the time from the end of a call to the agent to the next call. Calls to the
// agent cost nothing, and whatever it holds counts as notified, so the longest interval is a small
// part of the drain grace; the interval prevents a busy loop while the agent is down.
func (t *Table) retryInterval() time.Duration {
	maxInterval := max(min(t.clock.DrainGrace/drainGraceDivisor, maxRetryInterval), minRetryInterval)
	return min(minRetryInterval<<min(t.consecutiveFailures, 10), maxInterval)
}

// markCaughtUp records that the table holds everything that discovery has sent.
func (t *Table) markCaughtUp() {
	if t.clock.HasDeadline() {
		t.log.WithField("to_spare", (t.clock.ValidUntil() - t.now()).Round(time.Millisecond).String()).Info("the list is up to date again")
	}
	t.consecutiveFailures, t.staleLogged = 0, false
	t.clock.RecordComplete(t.now())
	t.finishRefresh()
	t.signalFirstResult()
}

// handleCallFailure records that a call has failed, or that a complete watch has ended, and
// schedules the next call by the table's own clock, whatever the sink does.
func (t *Table) handleCallFailure(c *call, err error) {
	t.log.WithError(err).WithField("after", (t.now()-c.startedAt).Round(time.Millisecond).String()).
		Log(t.failureLogLevel(), "discovery call ended; the list is kept")
	t.finishRefresh()
	if t.alwaysFull { // discovery may have restarted and reset its versions
		t.versionKnown = false
	}
	if t.watchActive { // a watch continues beside the call that failed
		t.sink.DiscoveryFailed()
		return
	}
	t.watchAt(t.nextWatchTime(err, c.complete))
	t.consecutiveFailures++
	t.sink.DiscoveryFailed()
	t.scheduleStaleCheck(c.callsContext)
}

// failureLogLevel returns the level at which a failed call is logged. Warnings become rarer with
// each consecutive failure, so that a discovery that is down for long does not flood the log.
func (t *Table) failureLogLevel() logrus.Level {
	if t.consecutiveFailures&(t.consecutiveFailures-1) != 0 || t.pushed && t.consecutiveFailures > 0 {
		return logrus.DebugLevel
	}
	return logrus.WarnLevel
}

// nextWatchTime returns when to start the watch after a call has ended with an error.
func (t *Table) nextWatchTime(err error, complete bool) time.Duration {
	timedOut := errors.Is(err, errWatchTimedOut)
	switch {
	case t.pushed:
		if timedOut {
			t.clock.WatchTimedOut(t.now())
		}
		return t.now() + t.retryInterval()
	case timedOut:
		return t.clock.WatchTimedOut(t.now())
	case complete && !errors.As(err, new(stream.TruncatedError)):
		return t.clock.WatchEnded(t.now())
	}
	return t.clock.CallFailed(t.now())
}

// scheduleStaleCheck logs, when the list's validity expires, that it may lack binding changes.
func (t *Table) scheduleStaleCheck(callsContext context.Context) {
	until := t.clock.ValidUntil()
	if !t.clock.HasDeadline() || t.staleLogged {
		return
	}
	time.AfterFunc(max(until-t.now(), 0), func() {
		t.box.Put(func(t *Table) {
			if callsContext.Err() == nil && !t.staleLogged && t.clock.Stale(t.now()) {
				t.staleLogged = true
				t.log.Warn("the list may lack binding changes: discovery has not confirmed it in time")
			}
		})
	})
}
