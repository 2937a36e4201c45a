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

// startWatch starts the one watch, unless there is one. Where the version that is held may not be one of this
// discovery's, the full membership is requested first, and so it is where the first update of a discovery at a
// new address has a lower version: a watch from such a version would miss changes.
func (t *Table) startWatch() {
	if t.watching {
		return
	}
	if !t.versionKnown {
		t.fetchThenWatch()
		return
	}
	t.watching = true
	t.startCall("?watch=1&from="+strconv.FormatUint(t.version, 10), true, func(t *Table, err error) error {
		t.watching, t.watchComplete = false, false
		if errors.Is(err, errVersionsDiffer) {
			t.version, t.versionKnown = 0, false // the next full list can't be compared with the one in force
			t.fetchThenWatch()
			return nil
		}
		return cmp.Or(err, errWatchEnded)
	})
}

// fetchThenWatch requests the full membership and starts the watch when it has come.
func (t *Table) fetchThenWatch() {
	t.watching = true
	t.startCall("", false, func(t *Table, err error) error {
		t.watching = false
		if t.versionKnown {
			t.startWatch()
			return err
		}
		return cmp.Or(err, errNoUpdate)
	})
}

// watchAt starts the watch at a time of the table's clock. Until then t.watching keeps others from starting it.
func (t *Table) watchAt(at time.Duration) {
	t.watching = true
	callsContext := t.callsContext
	start := func(t *Table) {
		if callsContext.Err() == nil {
			t.watching = false
			t.startWatch()
		}
	}
	if wait := at - t.now(); wait > 0 {
		time.AfterFunc(wait, func() { t.box.Put(start) })
		return
	}
	start(t)
}

// retryInterval returns how long after the end of a call to the agent the next one starts. The agent answers
// at no cost, and whatever it holds counts as notified, so the longest interval is a small part of the drain
// grace; it keeps the table from calling an agent that is down without a pause.
func (t *Table) retryInterval() time.Duration {
	maxInterval := max(min(t.clock.DrainGrace/graceParts, maxRetryInterval), minRetryInterval)
	return min(minRetryInterval<<min(t.failures, 10), maxInterval)
}

// caughtUp records that all that discovery had to say is held.
func (t *Table) caughtUp() {
	if t.clock.HasDeadline() {
		t.log.WithField("to_spare", (t.clock.ValidUntil() - t.now()).Round(time.Millisecond).String()).Info("the list is up to date again")
	}
	t.failures, t.stale = 0, false
	t.clock.RecordComplete(t.now())
	t.finishRefresh()
	t.signalFirstResult()
}

// callFailed records that a call has failed, or that a watch that was complete until then has ended, and
// schedules the next one by the table's own clock, whatever the sink does.
func (t *Table) callFailed(c *call, err error) {
	t.log.WithError(err).WithField("after", (t.now()-c.startedAt).Round(time.Millisecond).String()).
		Log(t.failureLevel(), "discovery call ended; the list is kept")
	t.finishRefresh()
	if t.alwaysFull { // discovery may have restarted with versions that count anew
		t.versionKnown = false
	}
	if t.watching { // a watch goes on beside the call that failed
		t.sink.DiscoveryFailed()
		return
	}
	t.watchAt(t.nextWatch(err, c.complete))
	t.failures++
	t.sink.DiscoveryFailed()
	t.scheduleStaleCheck(c.callsContext)
}

// failureLevel returns the level at which a failed call is logged: warnings get rarer with each failure in a
// row, so that a discovery that is down for long does not fill the log.
func (t *Table) failureLevel() logrus.Level {
	if t.failures&(t.failures-1) != 0 || t.pushed && t.failures > 0 {
		return logrus.DebugLevel
	}
	return logrus.WarnLevel
}

// nextWatch returns when to start the watch after a call has ended with an error.
func (t *Table) nextWatch(err error, complete bool) time.Duration {
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

// scheduleStaleCheck logs, once the list's validity is over, that it may lack changes that bind.
func (t *Table) scheduleStaleCheck(callsContext context.Context) {
	until := t.clock.ValidUntil()
	if !t.clock.HasDeadline() || t.stale {
		return
	}
	time.AfterFunc(max(until-t.now(), 0), func() {
		t.box.Put(func(t *Table) {
			if callsContext.Err() == nil && !t.stale && t.clock.Stale(t.now()) {
				t.stale = true
				t.log.Warn("the list is older than what counts as told allows")
			}
		})
	})
}
