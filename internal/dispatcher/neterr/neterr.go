// Package neterr classifies the errors of socket system calls by their cause: the peer, this
// machine, the network or the single connection. The classification follows the Linux manual pages
// accept(2), connect(2), ip(7) and tcp(7). The servers and the connections to runners use it. All
// functions are safe for concurrent use.
package neterr

import (
	"errors"
	"syscall"
)

// localErrors are temporary errors of this machine: it is out of descriptors, memory or ports, or a
// signal has interrupted the call. They say nothing about the peer.
var localErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
	syscall.EAGAIN, syscall.EINTR}

// networkErrors are errors that the network, or a peer that is shutting down, may cause
// temporarily.
var networkErrors = []error{syscall.ECONNABORTED, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EPROTO}

// listenerErrors are errors of a listener on which no further accept can succeed.
var listenerErrors = []error{syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EFAULT}

// Local reports whether an error of socket or connect is caused by this machine, so that it says
// nothing about the peer.
func Local(err error) bool { return isAny(err, localErrors) }

// Retryable reports whether a dial that failed with err may succeed a moment later.
func Retryable(err error) bool { return isAny(err, localErrors) || isAny(err, networkErrors) }

// EndsListener reports whether an error of accept means that the listener can't be used any more.
// All other errors should be retried, including those of the accepted connection, which accept(2)
// passes on.
func EndsListener(err error) bool { return isAny(err, listenerErrors) }

// isAny reports whether err wraps any of the candidates.
func isAny(err error, candidates []error) bool {
	for _, e := range candidates {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
