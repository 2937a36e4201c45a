// Package permit decides whether an attempt may still begin. Between the decision to send it and its first byte lie
// mailboxes, a dial and the wait for a connection, and what the decision rested on may have changed meanwhile. The
// egress calls Check directly before it writes the first byte.
//
// The package is pure: it does no I/O and reads no clock. It has no state, so it is safe for concurrent use.
package permit

import (
	"errors"
	"fmt"
	"time"
)

const (
	// MaxStall is how long a process may be stalled between reading its clock and writing. An attempt that must not
	// begin after a given time is not begun later than MaxStall before it.
	MaxStall = 150 * time.Millisecond
	// DeadlineSlack is by how much the time that an attempt states may exceed the time that its client has left at
	// the first byte. It is below what the protocol allows (150 ms), as the process may still be stalled before the
	// write.
	DeadlineSlack = 20 * time.Millisecond
)

// Reasons for which an attempt does not begin. All of them wrap ErrNotStarted and mean that the attempt never ran.
var (
	ErrNotStarted         = errors.New("the attempt was not begun")
	ErrRevoked            = fmt.Errorf("%w: it was given up", ErrNotStarted)
	ErrClientDisconnected = fmt.Errorf("%w: the client has gone", ErrNotStarted)
	ErrDeadlineExceeded   = fmt.Errorf("%w: the deadline has passed", ErrNotStarted)
	ErrLatestStartPassed  = fmt.Errorf("%w: the time to begin it has passed", ErrNotStarted)
	ErrBackendChanged     = fmt.Errorf("%w: the worker drains, has left the list or has restarted", ErrNotStarted)
	ErrProcessStalled     = fmt.Errorf("%w: the process has stood still since it was decided on", ErrNotStarted)
	ErrStatedTimeTooLong  = fmt.Errorf("%w: the time that it tells is more than is left", ErrNotStarted)
	ErrConnectionUnusable = fmt.Errorf("%w: the connection has ended or holds an answer that nobody asked for", ErrNotStarted)
)

// Facts are the facts at the time at which an attempt's first byte would be written.
type Facts struct {
	Now                time.Time
	Deadline           time.Time     // of the request
	LatestStart        time.Time     // the latest start that the decision allows; zero for the deadline
	StatedTime         time.Duration // the time that the attempt tells its worker it has
	Revoked            bool          // the dispatcher has canceled the attempt
	ClientDisconnected bool
	BackendChanged     bool // the worker drains, has left the list or has restarted since the decision
	ProcessStalled     bool // the process was stalled since the decision for so long that what it knew may be outdated
	ConnectionUnusable bool // the connection has ended, or an unexpected answer has come on it
}

// Check returns the first reason, in the order below, for which an attempt may not begin, and nil if it may.
func Check(f Facts) error {
	switch {
	case f.Revoked:
		return ErrRevoked
	case f.ClientDisconnected:
		return ErrClientDisconnected
	case !f.Now.Before(f.Deadline):
		return ErrDeadlineExceeded
	case !f.LatestStart.IsZero() && f.Now.After(f.LatestStart):
		return ErrLatestStartPassed
	case f.BackendChanged:
		return ErrBackendChanged
	case f.ProcessStalled:
		return ErrProcessStalled
	case f.StatedTime > f.Deadline.Sub(f.Now)+DeadlineSlack:
		return ErrStatedTimeTooLong
	case f.ConnectionUnusable:
		return ErrConnectionUnusable
	}
	return nil
}
