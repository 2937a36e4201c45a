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

// The reasons for which a call ends. They are the causes of its context and are logged.
var (
	errWatchEnded      = errors.New("the watch was ended by discovery")
	errNoUpdate        = errors.New("the list could not be read")
	errWatchTimedOut   = errors.New("discovery has fallen silent")
	errResponseTimeout = errors.New("discovery did not answer in time")
	errVersionsDiffer  = errors.New("discovery counts its versions otherwise")
)

// call is one request to discovery, whose response a goroutine of its own reads. Except for lastContact its
// fields belong to the table's goroutine once it has been started.
type call struct {
	watch        bool
	ctx          context.Context // of this call
	cancel       context.CancelCauseFunc
	callsContext context.Context // of all calls to the address
	startedAt    time.Duration
	lastContact  atomic.Int64 // the table's clock at the last byte, or at the start
	complete     bool         // all that discovery had when it was asked has been applied
	finished     func(*Table, error) error
}

// startCall makes a request in the background. Each object of its response is posted to the mailbox, and so
// is its end, of which finished returns the error that counts as a failure, nil for none. A call to an address
// that is not discovery's any more changes nothing, neither by an object that comes late nor by its end.
func (t *Table) startCall(query string, watch bool, finished func(*Table, error) error) {
	ctx, cancel := context.WithCancelCause(t.callsContext)
	c := &call{watch: watch, ctx: ctx, cancel: cancel, callsContext: t.callsContext, startedAt: t.now(), finished: finished}
	c.lastContact.Store(int64(c.startedAt))
	url := "http://" + t.addr + membersPath + query
	go func() {
		err := t.readResponse(ctx, url, func(heartbeat bool) { t.contacted(c, heartbeat) }, func(update membershipUpdate) {
			t.post(c, func(t *Table) { t.received(c, update) })
		})
		// The message is dropped if the address has changed, whose context then ends the call's too.
		t.post(c, func(t *Table) { t.callEnded(c, err) })
	}()
}

// post has the table's goroutine run a message of a call, unless the address has changed by then. It may be
// called from any goroutine.
func (t *Table) post(c *call, message func(*Table)) {
	t.box.Put(func(t *Table) {
		if c.callsContext.Err() == nil {
			message(t)
		}
	})
}

// contacted records that bytes of a call's response have come. It runs on the call's goroutine.
func (t *Table) contacted(c *call, heartbeat bool) {
	if heartbeat && c.watch {
		t.post(c, func(t *Table) {
			t.callComplete(c)
		})
	}
	c.lastContact.Store(int64(t.now()))
}

// received applies an object of a call's response.
func (t *Table) received(c *call, update membershipUpdate) {
	if c.ctx.Err() != nil {
		return // the call has been cancelled
	}
	if update.Version != nil && *update.Version < t.version {
		if c.watch && !update.Full && (t.relocated || !c.complete) {
			c.cancel(errVersionsDiffer)
			return
		}
		if !c.watch && t.watchComplete {
			return // the watch has sent what this list lacks
		}
	}
	if err := t.apply(update); err != nil {
		c.cancel(err)
		return
	}
	t.callComplete(c)
}

// callComplete records that a call has sent all that discovery had.
func (t *Table) callComplete(c *call) {
	c.complete = true
	t.watchComplete = t.watchComplete || c.watch
	t.caughtUp()
}

// callEnded records the end of a call.
func (t *Table) callEnded(c *call, err error) {
	c.cancel(nil)
	t.clock.RecordContact(time.Duration(c.lastContact.Load()))
	if !freshness.FailedInQueue(t.clock.Rules, t.now()-c.startedAt) {
		t.signalFirstResult()
	}
	if err := c.finished(t, err); err != nil {
		t.callFailed(c, err)
	}
}

// readResponse makes a request, calls onBytes whenever bytes of the response have come and onObject for each
// object, and returns nil at the response's regular end. The watchdog ends a call that brings no byte within
// responseTimeout, and one that then brings none within freshness.WatchTimeout: the connection of a watch whose
// machine has vanished stays open without a byte.
func (t *Table) readResponse(ctx context.Context, url string, onBytes func(heartbeat bool), onObject func(membershipUpdate)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var responded atomic.Bool
	watchdog := time.AfterFunc(responseTimeout, func() {
		if responded.Load() {
			cancel(errWatchTimedOut)
		} else { // a failed call: it has not become a watch yet, so it has missed nothing
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

// get requests a URL of discovery's and returns the body of a response of status 200, which the caller closes.
func (t *Table) get(ctx context.Context, url string) (io.ReadCloser, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, fmt.Errorf("asking discovery: %w", err)
	}
	response, err := t.client.RoundTrip(request)
	if err != nil {
		return nil, causeOr(ctx, fmt.Errorf("asking discovery: %w", err))
	}
	if response.StatusCode != http.StatusOK {
		_, _ = io.CopyN(io.Discard, response.Body, 64<<10) // lets the connection be used again
		response.Body.Close()
		return nil, fmt.Errorf("asking discovery: status %d", response.StatusCode)
	}
	return response.Body, nil
}

// causeOr returns the cause of a context that has ended, which tells the watchdog's reason or the canceller's,
// else the error.
func causeOr(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}
