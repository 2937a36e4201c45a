package routetable

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/decision/freshness"
	"frosttide/internal/dispatcher/routetable/stream"
)

var (
	errWatchEnded      = errors.New("the watch was ended by discovery")
	errNoUpdate        = errors.New("the list could not be read")
	errWatchTimedOut   = errors.New("discovery has fallen silent")
	errResponseTimeout = errors.New("discovery did not answer in time")
	errVersionsDiffer  = errors.New("the new discovery counts its versions otherwise")
)

// startWatch begins the one watch. Guards against changes missed where versions may count
// otherwise: there the whole list is called for first, and so it is where a moved discovery's
// first words are of an earlier version.
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
		t.watching = false
		if errors.Is(err, errVersionsDiffer) {
			t.versionKnown = false
			t.fetchThenWatch()
			return nil
		}
		return cmp.Or(err, errWatchEnded)
	})
}

// fetchThenWatch calls for the whole list and then begins the watch.
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

// watchAt begins the watch at a time of the clock's; until then nobody else does.
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

// retryInterval returns how long after a call to the agent has ended the next one begins. The
// agent answers at no cost and whatever it has counts as told, so the longest wait is a
// small part of the grace. Guards an agent that is absent from a call without end.
func (t *Table) retryInterval() time.Duration {
	maxInterval := max(min(t.clock.DrainGrace/graceParts, maxRetryInterval), minRetryInterval)
	return min(minRetryInterval<<min(t.failures, 10), maxInterval)
}

// startCall makes a call in the background; each object of its answer comes to the
// mailbox, and so does its end, of which over says whether it is a failure. Guards against a
// call to an address that is no longer discovery's: neither its late objects nor its end
// change anything.
func (t *Table) startCall(query string, watch bool, finished func(*Table, error) error) {
	ctx, end := context.WithCancelCause(t.callsContext)
	callsContext, url := t.callsContext, "http://"+t.addr+membersPath+query
	post := func(message func(*Table)) {
		t.box.Put(func(t *Table) {
			if callsContext.Err() == nil {
				message(t)
			}
		})
	}
	startedAt := t.now()
	var lastContact atomic.Int64 // the clock's time at the last byte, or at the call
	lastContact.Store(int64(startedAt))
	complete := false // the call has told all there was; on the table's own loop only
	go func() {
		err := t.readResponse(ctx, url, func(heartbeat bool) {
			if heartbeat && watch {
				post(func(t *Table) {
					complete = true
					t.caughtUp()
				})
			}
			lastContact.Store(int64(t.now()))
		}, func(l membershipUpdate) {
			post(func(t *Table) {
				if ctx.Err() != nil {
					return // it has been broken off
				}
				if watch && t.relocated && !l.Full && l.Version != nil && *l.Version < t.version {
					end(errVersionsDiffer)
					return
				}
				if err := t.apply(l); err != nil {
					end(err)
					return
				}
				complete = true
				t.caughtUp()
			})
		})
		post(func(t *Table) { // where it is dropped, the address's own context ends the call's
			end(nil)
			t.clock.RecordContact(time.Duration(lastContact.Load()))
			if !freshness.FailedInQueue(t.clock.Rules, t.now()-startedAt) {
				t.signalFirstResult()
			}
			if err := finished(t, err); err != nil {
				t.callFailed(callsContext, err, complete, startedAt)
			}
		})
	}()
}

// caughtUp takes in that all that discovery had to tell is here.
func (t *Table) caughtUp() {
	if t.clock.HasDeadline() {
		t.log.WithField("to_spare", (t.clock.ValidUntil() - t.now()).Round(time.Millisecond).String()).Info("the list is up to date again")
	}
	t.failures, t.stale = 0, false
	t.clock.RecordComplete(t.now())
	t.finishRefresh()
	t.signalFirstResult()
}

// callFailed takes in that a call has failed, or that a watch which has told all until then has
// ended. The table asks again by its own clock, whatever its sink makes of the word.
func (t *Table) callFailed(callsContext context.Context, err error, complete bool, startedAt time.Duration) {
	level := logrus.WarnLevel
	if t.failures&(t.failures-1) != 0 || t.pushed && t.failures > 0 { // guards the log from one that is absent for long
		level = logrus.DebugLevel
	}
	t.log.WithError(err).WithField("after", (t.now()-startedAt).Round(time.Millisecond).String()).Log(level, "discovery call ended; the list is kept")
	t.finishRefresh()
	if t.alwaysFull { // guards against one that has begun its versions anew
		t.versionKnown = false
	}
	if t.watching { // a watch goes on beside the call that failed
		t.sink.DiscoveryFailed()
		return
	}
	timedOut := errors.Is(err, errWatchTimedOut)
	switch {
	case t.pushed:
		if timedOut {
			t.clock.WatchTimedOut(t.now())
		}
		t.watchAt(t.now() + t.retryInterval())
	case timedOut:
		t.watchAt(t.clock.WatchTimedOut(t.now()))
	case complete && !errors.As(err, new(stream.TruncatedError)):
		t.watchAt(t.clock.WatchEnded(t.now()))
	default:
		t.watchAt(t.clock.CallFailed(t.now()))
	}
	t.failures++
	t.sink.DiscoveryFailed()
	t.scheduleStaleCheck(callsContext)
}

// scheduleStaleCheck looks whether the list is too old once what it may lack binds, and says so.
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

// readResponse makes a call and reads the objects of its answer. Guards against a watch
// whose machine has vanished: its connection stays open and says nothing.
func (t *Table) readResponse(ctx context.Context, url string, onBytes func(heartbeat bool), onObject func(membershipUpdate)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var responded atomic.Bool
	watchdog := time.AfterFunc(responseTimeout, func() {
		if responded.Load() {
			cancel(errWatchTimedOut)
		} else { // a call that failed; it was no watch yet, so nothing it missed counts
			cancel(errResponseTimeout)
		}
	})
	defer watchdog.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("asking discovery: %w", err)
	}
	resp, err := t.client.RoundTrip(req)
	if err != nil {
		return cause(ctx, fmt.Errorf("asking discovery: %w", err))
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		_, _ = io.CopyN(io.Discard, resp.Body, 64<<10)
		return fmt.Errorf("asking discovery: status %d", resp.StatusCode)
	}
	objects := stream.New(resp.Body, func(heartbeat bool) {
		responded.Store(true)
		watchdog.Reset(freshness.WatchTimeout)
		onBytes(heartbeat)
	})
	for {
		var l membershipUpdate
		if err := objects.Next(&l); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return cause(ctx, err)
		}
		onObject(l)
	}
}

// cause names the watchdog, or whoever broke the call off, where that was the reason of an
// error.
func cause(ctx context.Context, err error) error {
	if c := context.Cause(ctx); c != nil {
		return c
	}
	return err
}
