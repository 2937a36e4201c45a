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
	errEnded  = errors.New("the watch was ended by discovery")
	errNoList = errors.New("the list could not be read")
	errSilent = errors.New("discovery has fallen silent")
	errMute   = errors.New("discovery did not answer in time")
	errOther  = errors.New("the new discovery counts its versions otherwise")
)

// watch begins the one watch. Guards against changes missed where versions may count
// otherwise: there the whole list is called for first, and so it is where a moved discovery's
// first words are of an earlier version.
func (t *Table) watch() {
	if t.watching {
		return
	}
	if !t.revGiven {
		t.fetchFirst()
		return
	}
	t.watching = true
	t.call("?watch=1&from="+strconv.FormatUint(t.rev, 10), true, func(t *Table, err error) error {
		t.watching = false
		if errors.Is(err, errOther) {
			t.revGiven = false
			t.fetchFirst()
			return nil
		}
		return cmp.Or(err, errEnded)
	})
}

// fetchFirst calls for the whole list and then begins the watch.
func (t *Table) fetchFirst() {
	t.watching = true
	t.call("", false, func(t *Table, err error) error {
		t.watching = false
		if t.revGiven {
			t.watch()
			return err
		}
		return cmp.Or(err, errNoList)
	})
}

// later begins the watch at a time of the clock's; until then nobody else does.
func (t *Table) later(at time.Duration) {
	t.watching = true
	calls := t.calls
	begin := func(t *Table) {
		if calls.Err() == nil {
			t.watching = false
			t.watch()
		}
	}
	if wait := at - t.now(); wait > 0 {
		time.AfterFunc(wait, func() { t.box.Put(begin) })
		return
	}
	begin(t)
}

// again returns how long after a call to the agent has ended the next one begins. The
// agent answers at no cost and whatever it has counts as told, so the longest wait is a
// small part of the grace. Guards an agent that is absent from a call without end.
func (t *Table) again() time.Duration {
	most := max(min(t.clock.Grace/againParts, againMost), firstAgain)
	return min(firstAgain<<min(t.failed, 10), most)
}

// call makes a call in the background; each object of its answer comes to the
// mailbox, and so does its end, of which over says whether it is a failure. Guards against a
// call to an address that is no longer discovery's: neither its late objects nor its end
// change anything.
func (t *Table) call(query string, watch bool, over func(*Table, error) error) {
	ctx, end := context.WithCancelCause(t.calls)
	calls, url := t.calls, "http://"+t.addr+listPath+query
	put := func(message func(*Table)) {
		t.box.Put(func(t *Table) {
			if calls.Err() == nil {
				message(t)
			}
		})
	}
	began := t.now()
	var heard atomic.Int64 // the clock's time at the last byte, or at the call
	heard.Store(int64(began))
	told := false // the call has told all there was; on the table's own loop only
	go func() {
		err := t.read(ctx, url, func(beat bool) {
			if beat && watch {
				put(func(t *Table) {
					told = true
					t.held()
				})
			}
			heard.Store(int64(t.now()))
		}, func(l list) {
			put(func(t *Table) {
				if ctx.Err() != nil {
					return // it has been broken off
				}
				if watch && t.moved && !l.All && l.Rev != nil && *l.Rev < t.rev {
					end(errOther)
					return
				}
				if err := t.take(l); err != nil {
					end(err)
					return
				}
				told = true
				t.held()
			})
		})
		put(func(t *Table) { // where it is dropped, the address's own context ends the call's
			end(nil)
			t.clock.Heard(time.Duration(heard.Load()))
			if !freshness.CrowdedOut(t.clock.Rules, t.now()-began) {
				t.answered()
			}
			if err := over(t, err); err != nil {
				t.ended(calls, err, told, began)
			}
		})
	}()
}

// held takes in that all that discovery had to tell is here.
func (t *Table) held() {
	if t.clock.Pressed() {
		t.log.WithField("to_spare", (t.clock.Until() - t.now()).Round(time.Millisecond).String()).Info("the list is up to date again")
	}
	t.failed, t.stale = 0, false
	t.clock.Held(t.now())
	t.renewed()
	t.answered()
}

// ended takes in that a call has failed, or that a watch which has told all until then has
// ended. The table asks again by its own clock, whatever its sink makes of the word.
func (t *Table) ended(calls context.Context, err error, told bool, began time.Duration) {
	level := logrus.WarnLevel
	if t.failed&(t.failed-1) != 0 || t.pushed && t.failed > 0 { // guards the log from one that is absent for long
		level = logrus.DebugLevel
	}
	t.log.WithError(err).WithField("after", (t.now()-began).Round(time.Millisecond).String()).Log(level, "discovery call ended; the list is kept")
	t.renewed()
	if t.whole { // guards against one that has begun its versions anew
		t.revGiven = false
	}
	if t.watching { // a watch goes on beside the call that failed
		t.sink.ListFailed()
		return
	}
	silent := errors.Is(err, errSilent)
	switch {
	case t.pushed:
		if silent {
			t.clock.Silent(t.now())
		}
		t.later(t.now() + t.again())
	case silent:
		t.later(t.clock.Silent(t.now()))
	case told && !errors.As(err, new(stream.Cut)):
		t.later(t.clock.Ended(t.now()))
	default:
		t.later(t.clock.Failed(t.now()))
	}
	t.failed++
	t.sink.ListFailed()
	t.aged(calls)
}

// aged looks whether the list is too old once what it may lack binds, and says so.
func (t *Table) aged(calls context.Context) {
	until := t.clock.Until()
	if !t.clock.Pressed() || t.stale {
		return
	}
	time.AfterFunc(max(until-t.now(), 0), func() {
		t.box.Put(func(t *Table) {
			if calls.Err() == nil && !t.stale && t.clock.Stale(t.now()) {
				t.stale = true
				t.log.Warn("the list is older than what counts as told allows")
			}
		})
	})
}

// read makes a call and reads the objects of its answer. Guards against a watch
// whose machine has vanished: its connection stays open and says nothing.
func (t *Table) read(ctx context.Context, url string, some func(beat bool), object func(list)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var spoke atomic.Bool
	watchdog := time.AfterFunc(answerTime, func() {
		if spoke.Load() {
			cancel(errSilent)
		} else { // a call that failed; it was no watch yet, so nothing it missed counts
			cancel(errMute)
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
	objects := stream.New(resp.Body, func(beat bool) {
		spoke.Store(true)
		watchdog.Reset(freshness.Quiet)
		some(beat)
	})
	for {
		var l list
		if err := objects.Next(&l); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return cause(ctx, err)
		}
		object(l)
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
