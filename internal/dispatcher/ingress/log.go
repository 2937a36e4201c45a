package ingress

import (
	"log"

	"github.com/sirupsen/logrus"
)

// stdLog lets net/http's complaints about connections into our log, at a level
// that does not drown the rest: a client can cause them at will.
func stdLog(to *logrus.Entry) *log.Logger { return log.New(debugWriter{to}, "", 0) }

type debugWriter struct{ to *logrus.Entry }

func (w debugWriter) Write(line []byte) (int, error) {
	w.to.WithField("from", "net/http").Debug(string(line))
	return len(line), nil
}
