// Package permit decides whether an attempt may still begin. Between the decision to send an attempt and its first byte
// come message queues, a dial and the wait for a connection, so the facts behind the decision may have changed. The egress
// calls Check directly before it writes the first byte.
//
// The package is pure: it does no I/O and reads no clock. It has no state, so it is safe for concurrent use.
package permit

import (
	"errors"
	"fmt"
	"time"
)

const (
	// MaxStall is the assumed longest stall of a process between reading its clock and writing. An attempt with a
	// latest start is therefore begun at least MaxStall before it.
	MaxStall = 150 * time.Millisecond
	// DeadlineSlack is how much the remaining time stated in an attempt may exceed the time left until the client's
	// deadline at the first byte. It is less than the 150 ms that the protocol allows, as the process may still stall
	// before the write.
	DeadlineSlack = 20 * time.Millisecond
)

// Reasons why an attempt does not begin. All of them wrap ErrNotStarted and mean that the attempt never ran.
var (
	ErrNotStarted         = errors.New("attempt not started")
	ErrRevoked            = fmt.Errorf("%w: canceled by the dispatcher", ErrNotStarted)
	ErrClientDisconnected = fmt.Errorf("%w: the client has disconnected", ErrNotStarted)
	ErrDeadlineExceeded   = fmt.Errorf("%w: the deadline has passed", ErrNotStarted)
	ErrLatestStartPassed  = fmt.Errorf("%w: its latest start has passed", ErrNotStarted)
	ErrBackendChanged     = fmt.Errorf("%w: the worker is draining, was removed from the list or has restarted", ErrNotStarted)
	ErrProcessStalled     = fmt.Errorf("%w: the process stalled after the decision", ErrNotStarted)
	ErrStatedTimeTooLong  = fmt.Errorf("%w: the remaining time that it states exceeds the time left", ErrNotStarted)
	ErrConnectionUnusable = fmt.Errorf("%w: the connection is closed or has received an unsolicited response", ErrNotStarted)
)

// Facts is the state on which Check decides, as of just before the write of an attempt's first byte.
type Facts struct {
	Now                time.Time
	Deadline           time.Time     // of the request
	LatestStart        time.Time     // latest start that the decision allows; zero if only the deadline limits it
	StatedTime         time.Duration // remaining time that the attempt states to its worker
	Revoked            bool          // the dispatcher has canceled the attempt
	ClientDisconnected bool
	BackendChanged     bool // the worker is draining, was removed from the list or has restarted since the decision
	ProcessStalled     bool // the process stalled after the decision for so long that its state may be outdated
	ConnectionUnusable bool // the connection is closed, or has received an unsolicited response
}

// Check returns the first reason, in the order below, why an attempt may not begin, and nil if it may.
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
