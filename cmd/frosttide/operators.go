package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"frosttide/internal/dispatcher/console"
	"frosttide/internal/dispatcher/core"
)

// clusterHandler answers operators about the others.
func (o *peers) clusterHandler() http.Handler {
	if o == nil {
		return nil
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m := o.currentMember()
		if m == nil {
			http.Error(w, errNoMember.Error(), http.StatusServiceUnavailable)
			return
		}
		m.Operators().ServeHTTP(w, r)
	})
}

var errNoMember = errors.New("this process is no member; its older or newer one is")

// operators carries out what operators say at this console: at this dispatcher alone, or by
// the log at all.
type operators struct {
	core  *core.Core
	peers *peers
}

func (o *peers) operators(c *core.Core) console.Core { return operators{c, o} }

// Exclude leaves a runner out, or puts it back.
func (p operators) Exclude(uid string, out bool, by time.Time, done func(error)) {
	if p.peers == nil {
		p.core.Exclude(uid, out, by, func(known bool) { done(unknown(known)) })
		return
	}
	p.core.IsKnown(uid, func(known bool) {
		m := p.peers.currentMember()
		switch {
		case m == nil:
			done(errNoMember)
		case !known && !m.Out(uid):
			done(console.ErrUnknown)
		default:
			m.Exclude(uid, out, "", by, func(err error) {
				if err != nil {
					err = fmt.Errorf("%w; nothing is lost by trying again", err)
				}
				done(err)
			})
		}
	})
}

func unknown(known bool) error {
	if known {
		return nil
	}
	return console.ErrUnknown
}
