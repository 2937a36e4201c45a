// Package telemetry holds the figures of this process that operators read, as
// Prometheus metrics. The other packages count through it where things happen;
// cmd/frosttide makes the one Counts and passes its Handler to the console.
//
// Names and labels of the metrics are part of the program's interface. All methods
// are safe for concurrent use, but for Classes, and reading waits for nobody.
package telemetry

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const (
	prefix = "edge_balancer" // of all names
	label  = "lane"          // names the class
)

// Counts holds the figures. Every count begins at 0.
type Counts struct {
	registry *prometheus.Registry
	byClass  [outcomes]*prometheus.CounterVec
	classes  atomic.Pointer[[]series] // by the class's number
	pending  prometheus.Gauge
	members  prometheus.Gauge
	avoided  prometheus.Gauge
	taken    prometheus.Counter
	refused  prometheus.Counter
}

// The counts of each class.
const (
	completed = iota
	rejected
	failed
	sent
	outcomes
)

// series are the counts of one class.
type series [outcomes]prometheus.Counter

// New makes the figures. There are no classes yet.
func New() *Counts {
	c := &Counts{registry: prometheus.NewRegistry()}
	for i, f := range []struct{ name, help string }{
		{"completed", "Jobs served."},
		{"rejected", "Jobs refused: trying again is harmless."},
		{"failed", "Jobs that ended otherwise."},
		{"upstream_requests", "Attempts written whole to runners."},
	} {
		c.byClass[i] = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: prefix, Name: f.name, Help: f.help}, []string{label})
		c.registry.MustRegister(c.byClass[i])
	}
	gauge := func(name, help string) prometheus.Gauge {
		g := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: prefix, Name: name, Help: help})
		c.registry.MustRegister(g)
		return g
	}
	counter := func(name, help string) prometheus.Counter {
		n := prometheus.NewCounter(prometheus.CounterOpts{Namespace: prefix, Name: name, Help: help})
		c.registry.MustRegister(n)
		return n
	}
	c.pending = gauge("pending", "Jobs taken and not yet ended.")
	c.members = gauge("members", "Runners in the list.")
	c.avoided = gauge("members_unavailable", "Listed runners that get no new work now, by hand or by choice.")
	c.taken = counter("config_reloads", "Configuration files taken at SIGHUP.")
	c.refused = counter("config_reload_errors", "Configuration files turned down at SIGHUP.")
	c.classes.Store(&[]series{})
	return c
}

// Classes sets the names of the classes, by their numbers. Names are only ever added,
// so series stay; each begins at 0. One goroutine at a time may call it.
func (c *Counts) Classes(names []string) {
	var all []series
	for _, name := range names {
		var s series
		for i := range s {
			s[i] = c.byClass[i].WithLabelValues(name)
		}
		all = append(all, s)
	}
	c.classes.Store(&all)
}

// count counts an outcome of a class, given by its number.
func (c *Counts) count(class, outcome int) { (*c.classes.Load())[class][outcome].Inc() }

// Completed counts a job that was served.
func (c *Counts) Completed(class int) { c.count(class, completed) }

// Rejected counts a job that was rejected, so that a retry is harmless.
func (c *Counts) Rejected(class int) { c.count(class, rejected) }

// Failed counts a job that ended otherwise.
func (c *Counts) Failed(class int) { c.count(class, failed) }

// Sent counts an attempt whose last byte has been written to a runner.
func (c *Counts) Sent(class int) { c.count(class, sent) }

// Pending counts a job that was taken, or with -1 one that has ended.
func (c *Counts) Pending(change int) { c.pending.Add(float64(change)) }

// Members sets how many workers are listed, and how many of them get no new work.
func (c *Counts) Members(listed, unavailable int) {
	c.members.Set(float64(listed))
	c.avoided.Set(float64(unavailable))
}

// Reloaded counts a configuration file that was put in force, or with false rejected.
func (c *Counts) Reloaded(ok bool) {
	if ok {
		c.taken.Inc()
	} else {
		c.refused.Inc()
	}
}

// Stored adds the figures of a process that may serve from a stored list: the list's
// age, 0 while discovery has confirmed it, and how many of its workers get work or do
// not yet. Status is called at each reading. Stored may be called once.
func (c *Counts) Stored(status func() (age time.Duration, used, withheld int)) {
	gauge := func(name, help string, of func(age time.Duration, used, withheld int) float64) {
		c.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: prefix, Name: name, Help: help},
			func() float64 { return of(status()) }))
	}
	gauge("stored_list_age_seconds", "Age of the stored list that is served from; 0 for none.",
		func(age time.Duration, _, _ int) float64 { return age.Seconds() })
	gauge("stored_members_used", "Runners of the stored list that get work.",
		func(_ time.Duration, used, _ int) float64 { return float64(used) })
	gauge("stored_members_withheld", "Runners of the stored list that get none yet.",
		func(_ time.Duration, _, withheld int) float64 { return float64(withheld) })
}

// Handler returns the handler that writes the figures in Prometheus's text format.
func (c *Counts) Handler() http.Handler {
	return promhttp.HandlerFor(c.registry, promhttp.HandlerOpts{DisableCompression: true})
}
