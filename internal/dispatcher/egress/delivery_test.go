package egress

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"frosttide/decision"
	"frosttide/internal/dispatcher/core"
)

// TestNoConnection checks which errors of an attempt that was not sent set
// core.Delivery.NoConnection: only timeouts of the connect do.
func TestNoConnection(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	for _, c := range []struct {
		name string
		err  error
		want bool
	}{
		{"connect timeout", &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}, true},
		{"connect timeout of the kernel", &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ETIMEDOUT)}, true},
		{"refused", &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}, false},
		{"reset during the write", &net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.ECONNRESET)}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := &exchange{attempt: core.Attempt{Job: &core.Job{}}, log: logrus.NewEntry(log)}
			e.acceptTimer = newAcceptTimer(&e.conn, func() {})
			got := e.handleError(c.err)
			require.Equal(t, decision.ConnectFailed, got.outcome)
			require.Equal(t, c.want, got.report.NoConnection)
		})
	}
}
