package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"frosttide/internal/dispatcher/console"
	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/fleet/cluster"
	"frosttide/internal/dispatcher/fleet/ledger"
)

// errNoMember is returned for a call that only a member of the cluster can execute.
var errNoMember = errors.New("this process is no member; its older or newer one is")

// clusterHandler returns the handler of the console's cluster API, or nil without a cluster. It
// may be called on nil.
func (p *peers) clusterHandler() http.Handler {
	if p == nil {
		return nil
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m := p.currentMember()
		if m == nil {
			http.Error(w, errNoMember.Error(), http.StatusServiceUnavailable)
			return
		}
		m.Operators().ServeHTTP(w, r)
	})
}

// operators executes operators' requests from this console. Without a cluster they apply to this
// dispatcher only; with one they go through the replicated log to all members. It implements
// console.Core.
type operators struct {
	core  *core.Core
	peers *peers // nil without a cluster
}

// operators returns the console.Core of this dispatcher. It may be called on nil.
func (p *peers) operators(c *core.Core) console.Core { return operators{c, p} }

// Exclude implements console.Core. done is called with console.ErrUnknown if neither this
// dispatcher nor the log knows the worker.
func (o operators) Exclude(order console.Order, deadline time.Time, done func(error)) {
	if o.peers == nil {
		o.core.Exclude(order.Worker, order.Out, deadline, func(known bool) { done(unknownError(known)) })
		return
	}
	o.core.IsKnown(order.Worker, func(known bool) {
		m := o.peers.currentMember()
		switch {
		case m == nil:
			done(errNoMember)
		case !known && !m.IsExcluded(order.Worker):
			done(console.ErrUnknown)
		default:
			agreed := cluster.Order{Runner: order.Worker, Out: order.Out, ID: order.ID}
			m.Exclude(agreed, deadline, func(err error) { done(orderError(err)) })
		}
	})
}

// unknownError returns console.ErrUnknown for an unknown worker, else nil.
func unknownError(known bool) error {
	if known {
		return nil
	}
	return console.ErrUnknown
}

// orderError converts the error of a log entry to the console's errors. It returns nil for nil.
func orderError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, ledger.ErrUnclear):
		return fmt.Errorf("%w: %w", console.ErrUnclear, err)
	}
	return fmt.Errorf("%w; nothing is lost by trying again", err)
}
