package ingress

import (
	"log"

	"github.com/sirupsen/logrus"
)

// stdLog returns a logger for net/http's messages about connections. It logs them at level
// debug, because clients can cause any number of them.
func stdLog(to *logrus.Entry) *log.Logger { return log.New(debugWriter{to}, "", 0) }

// debugWriter is an io.Writer that logs each line at level debug.
type debugWriter struct{ log *logrus.Entry }

// Write implements io.Writer. It never fails.
func (w debugWriter) Write(line []byte) (int, error) {
	w.log.WithField("from", "net/http").Debug(string(line))
	return len(line), nil
}
