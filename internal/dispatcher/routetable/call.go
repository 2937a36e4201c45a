package routetable

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"frosttide/decision/freshness"
	"frosttide/internal/dispatcher/routetable/stream"
)

// Reasons for which a call ends. They are set as causes of its context and are logged.
var (
	errWatchEnded      = errors.New("discovery closed the watch")
	errNoUpdate        = errors.New("the response contained no list")
	errWatchTimedOut   = errors.New("discovery has fallen silent")
	errResponseTimeout = errors.New("timed out waiting for a response from discovery")
	errVersionMismatch = errors.New("discovery's versions do not continue those of the list held")
)

// call is one request to discovery; a separate goroutine reads its response. Once the call has
// started, its fields belong to the table's goroutine, except for lastContact.
type call struct {
	watch        bool
	ctx          context.Context // of this call
	cancel       context.CancelCauseFunc
	callsContext context.Context // of all calls to the address
	startedAt    time.Duration
	lastContact  atomic.Int64              // table's clock at the last byte, or at the start
	complete     bool                      // all that discovery had at the request has been applied
	onEnd        func(*Table, error) error // returns an error if the call failed
}

// startCall makes a request in the background. Each object of the response is posted to the
// mailbox, and so is the end of the call: onEnd then returns the error that counts as a failure,
// nil for none. A call to an address that is no longer discovery's changes nothing, neither by a
// late object nor by its end.
func (t *Table) startCall(query string, watch bool, onEnd func(*Table, error) error) {
	ctx, cancel := context.WithCancelCause(t.callsContext)
	c := &call{watch: watch, ctx: ctx, cancel: cancel, callsContext: t.callsContext, startedAt: t.now(), onEnd: onEnd}
	c.lastContact.Store(int64(c.startedAt))
	url := "http://" + t.addr + membersPath + query
	go func() {
		err := t.readResponse(ctx, url, func(heartbeat bool) { t.recordContact(c, heartbeat) }, func(update membershipUpdate) {
			t.post(c, func(t *Table) { t.handleUpdate(c, update) })
		})
		// The message is dropped if the address has changed: cancelling the calls to the old
		// address has also ended this call.
		t.post(c, func(t *Table) { t.handleCallEnd(c, err) })
	}()
}

// post makes the table's goroutine run a message of a call, unless the address has changed by then.
// It is safe for concurrent use.
func (t *Table) post(c *call, message func(*Table)) {
	t.box.Put(func(t *Table) {
		if c.callsContext.Err() == nil {
			message(t)
		}
	})
}

// recordContact records the arrival of bytes of a call's response. It runs on the call's goroutine.
func (t *Table) recordContact(c *call, heartbeat bool) {
	if heartbeat && c.watch {
		t.post(c, func(t *Table) {
			t.markCallComplete(c)
		})
	}
	c.lastContact.Store(int64(t.now()))
}

// handleUpdate applies an object of a call's response.
func (t *Table) handleUpdate(c *call, update membershipUpdate) {
	if c.ctx.Err() != nil {
		return // the call was cancelled
	}
	if update.Version != nil && *update.Version < t.version {
		if c.watch && !update.Full && (t.addressChanged || !c.complete) {
			c.cancel(errVersionMismatch)
			return
		}
		if !c.watch && t.watchComplete {
			return // the watch has already sent what this list lacks
		}
	}
	if err := t.apply(update); err != nil {
		c.cancel(err)
		return
	}
	t.markCallComplete(c)
}

// markCallComplete records that a call has sent everything that discovery had.
func (t *Table) markCallComplete(c *call) {
	c.complete = true
	t.watchComplete = t.watchComplete || c.watch
	t.markCaughtUp()
}

// handleCallEnd records the end of a call and handles its failure, if it counts as one.
func (t *Table) handleCallEnd(c *call, err error) {
	c.cancel(nil)
	t.clock.RecordContact(time.Duration(c.lastContact.Load()))
	if !freshness.FailedInQueue(t.clock.Rules, t.now()-c.startedAt) {
		t.signalFirstResult()
	}
	if err := c.onEnd(t, err); err != nil {
		t.handleCallFailure(c, err)
	}
}

// readResponse makes a request, calls onBytes whenever bytes of the response have arrived and
// onObject for each object, and returns nil at the regular end of the response. A watchdog cancels
// a call that receives no byte within responseTimeout, and afterwards one that receives none within
// freshness.WatchTimeout: the connection of a watch whose peer machine has vanished stays open
// without any data.
func (t *Table) readResponse(ctx context.Context, url string, onBytes func(heartbeat bool), onObject func(membershipUpdate)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var responded atomic.Bool
	watchdog := time.AfterFunc(responseTimeout, func() {
		if responded.Load() {
			cancel(errWatchTimedOut)
		} else { // a failed call: it never became a watch, so it has missed nothing
			cancel(errResponseTimeout)
		}
	})
	defer watchdog.Stop()
	body, err := t.get(ctx, url)
	if err != nil {
		return err
	}
	defer body.Close()
	objects := stream.New(body, func(heartbeat bool) {
		responded.Store(true)
		watchdog.Reset(freshness.WatchTimeout)
		onBytes(heartbeat)
	})
	for {
		var update membershipUpdate
		if err := objects.Next(&update); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return causeOr(ctx, err)
		}
		onObject(update)
	}
}

// get requests a URL from discovery and returns the body of a response with status 200, which the
// caller must close.
func (t *Table) get(ctx context.Context, url string) (io.ReadCloser, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, fmt.Errorf("requesting the list from discovery: %w", err)
	}
	response, err := t.client.RoundTrip(request)
	if err != nil {
		return nil, causeOr(ctx, fmt.Errorf("requesting the list from discovery: %w", err))
	}
	if response.StatusCode != http.StatusOK {
		_, _ = io.CopyN(io.Discard, response.Body, 64<<10) // allows the connection to be reused
		response.Body.Close()
		return nil, fmt.Errorf("requesting the list from discovery: status %d", response.StatusCode)
	}
	return response.Body, nil
}

// causeOr returns the cause of a context that was cancelled, which names the watchdog's or the
// canceller's reason, and otherwise err.
func causeOr(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}
