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
	// Standstill is how long a process may be held up between reading its clock and writing.
	// What must not happen after a given moment is not begun later than this before it.
	Standstill = 150 * time.Millisecond
	// DeadlineSlack is how much more time than is left to its client an attempt may be told
	// at the moment of its first byte. It lies below what the protocol allows (150 ms), as the
	// process may still be held up before the write.
	DeadlineSlack = 20 * time.Millisecond
)

// Reasons for which an attempt does not begin. All of them mean that it never ran.
var (
	ErrNotBegun    = errors.New("the attempt was not begun")
	ErrRevoked     = fmt.Errorf("%w: it was given up", ErrNotBegun)
	ErrClientGone  = fmt.Errorf("%w: the client has gone", ErrNotBegun)
	ErrDeadline    = fmt.Errorf("%w: the deadline has passed", ErrNotBegun)
	ErrTooLate     = fmt.Errorf("%w: the time to begin it has passed", ErrNotBegun)
	ErrBackend     = fmt.Errorf("%w: the worker drains, has left the list or has restarted", ErrNotBegun)
	ErrStoodStill  = fmt.Errorf("%w: the process has stood still since it was decided on", ErrNotBegun)
	ErrToldTooMuch = fmt.Errorf("%w: the time that it tells is more than is left", ErrNotBegun)
	ErrConnection  = fmt.Errorf("%w: the connection has ended or holds an answer that nobody asked for", ErrNotBegun)
)

// Facts are what holds at the moment at which an attempt's first byte would be written.
type Facts struct {
	Now        time.Time
	Deadline   time.Time     // of the request
	Latest     time.Time     // the latest beginning that the decision allows; zero for the deadline
	Told       time.Duration // the time that the attempt tells its worker
	Revoked    bool          // whoever asked for the attempt has given it up
	ClientGone bool
	Changed    bool // the worker drains, has left the list or has restarted since the decision
	StoodStill bool // the process has, since the decision, for so long that what it knew may be old
	Unusable   bool // the connection has ended, or an unexpected answer has come on it
}

// Check returns why an attempt may not begin, or nil.
func Check(f Facts) error {
	switch {
	case f.Revoked:
		return ErrRevoked
	case f.ClientGone:
		return ErrClientGone
	case !f.Now.Before(f.Deadline):
		return ErrDeadline
	case !f.Latest.IsZero() && f.Now.After(f.Latest):
		return ErrTooLate
	case f.Changed:
		return ErrBackend
	case f.StoodStill:
		return ErrStoodStill
	case f.Told > f.Deadline.Sub(f.Now)+DeadlineSlack:
		return ErrToldTooMuch
	case f.Unusable:
		return ErrConnection
	}
	return nil
}
