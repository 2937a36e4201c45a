package routetable

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"

	"frosttide/internal/core"
)

// sink takes down what the table tells.
type sink struct{ replaced, changed, failed int }

func (s *sink) ListReplaced([]core.Route) { s.replaced++ }
func (s *sink) ListChanged([]core.Route)  { s.changed++ }
func (s *sink) ListFailed()               { s.failed++ }

func quiet() *logrus.Entry {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	return logrus.NewEntry(log)
}

// TestAgain guards the rule on drains against an agent that is away for a moment, and the
// machine against calls without end: the wait grows to an eighth of the grace and no further.
func TestAgain(t *testing.T) {
	for _, tc := range []struct {
		grace, first, most time.Duration
	}{
		{400 * time.Millisecond, firstAgain, 50 * time.Millisecond},
		{500 * time.Millisecond, firstAgain, 62500 * time.Microsecond},
		{0, firstAgain, firstAgain},
		{time.Hour, firstAgain, againMost},
		{math.MaxInt64, firstAgain, againMost},
	} {
		table := New(Config{Addr: "127.0.0.1:1", Pushed: true, Grace: tc.grace}, quiet())
		var waits []time.Duration
		for table.failed = 0; table.failed < 40; table.failed++ {
			waits = append(waits, table.again())
		}
		if diff := cmp.Diff([]time.Duration{tc.first, tc.most}, []time.Duration{waits[0], waits[39]}); diff != "" {
			t.Errorf("grace %v: first and longest wait (-want +got):\n%s", tc.grace, diff)
		}
	}
}

// FuzzLine has no text from discovery end the program or be taken for a list half.
func FuzzLine(f *testing.F) {
	f.Add([]byte(`{"rev":41,"all":true,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:1","az":"a","model":"m","pod_group":3,"state":"SERVING","capacity_hint":1.0,"boot_ms":0}]}`))
	f.Add([]byte(`{"rev":43,"all":false,"targets":[{"uid":"s-1","state":"DELETED"}]}`))
	f.Add([]byte(`{"rev":-1,"all":true}`))
	f.Add([]byte(`{"rev":1,"all":true,"targets":[{"uid":"s","endpoint":"x","state":"SERVING"}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		table, s := New(Config{Addr: "127.0.0.1:1"}, quiet()), &sink{}
		table.sink = s
		taken := table.line(text)
		if told := s.replaced + s.changed; taken != (told == 1) || told > 1 {
			t.Errorf("read: %v, told %d times", taken, told)
		}
		if !taken && (len(table.entries) > 0 || table.rev != 0) {
			t.Error("what could not be read left something behind")
		}
	})
}
