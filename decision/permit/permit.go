// Package permit decides whether an attempt may still begin. Between the decision to send an
// attempt and its first byte lie mailboxes, a dial and the wait for a connection; whatever has
// changed meanwhile is weighed here, at the one moment that counts. The package is pure: no I/O,
// no clock.
package permit

import (
	"errors"
	"fmt"
	"time"
)

const (
	// MaxStall is how long a process may be held up between reading its clock and writing.
	// What must not happen after a given moment is not begun later than this before it.
	MaxStall = 150 * time.Millisecond
	// DeadlineSlack is how much more time than is left to its client an attempt may be told
	// at the moment of its first byte. It lies below what the protocol allows (150 ms), as the
	// process may still be held up before the write.
	DeadlineSlack = 20 * time.Millisecond
)

// Reasons for which an attempt does not begin. All of them mean that it never ran.
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

// Facts are what holds at the moment at which an attempt's first byte would be written.
type Facts struct {
	Now                time.Time
	Deadline           time.Time     // of the request
	LatestStart        time.Time     // the latest beginning that the decision allows; zero for the deadline
	StatedTime         time.Duration // the time that the attempt tells its worker
	Revoked            bool          // whoever asked for the attempt has given it up
	ClientDisconnected bool
	BackendChanged     bool // the worker drains, has left the list or has restarted since the decision
	ProcessStalled     bool // the process has, since the decision, for so long that what it knew may be old
	ConnectionUnusable bool // the connection has ended, or an unexpected answer has come on it
}

// Check returns why an attempt may not begin, or nil.
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
