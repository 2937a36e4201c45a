// Package telemetry holds this process's operational metrics in Prometheus form. Other packages
// count events through it; cmd/frosttide creates the single Counts and serves its Handler on the
// console.
//
// Names and labels of the metrics are part of the program's interface. All methods are safe for
// concurrent use except SetClasses, and reading the metrics never blocks.
package telemetry

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const (
	namespace  = "edge_balancer" // prefix of all metric names
	classLabel = "lane"          // the label that holds the class's name
)

// Counts holds the metrics. Every counter starts at 0.
type Counts struct {
	registry     *prometheus.Registry
	byClass      [numOutcomes]*prometheus.CounterVec
	classes      atomic.Pointer[[]series] // by class number
	pending      prometheus.Gauge
	members      prometheus.Gauge
	unavailable  prometheus.Gauge
	reloads      prometheus.Counter
	reloadErrors prometheus.Counter
}

// Indices of the counters of each class.
const (
	completed = iota
	rejected
	failed
	sent
	numOutcomes
)

// series holds the counters of one class, by outcome.
type series [numOutcomes]prometheus.Counter

// New returns metrics without any classes.
func New() *Counts {
	c := &Counts{registry: prometheus.NewRegistry()}
	for i, f := range []struct{ name, help string }{
		{"completed", "Jobs served."},
		{"rejected", "Jobs refused: trying again is harmless."},
		{"failed", "Jobs that ended otherwise."},
		{"upstream_requests", "Attempts written whole to runners."},
	} {
		c.byClass[i] = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: f.name, Help: f.help}, []string{classLabel})
		c.registry.MustRegister(c.byClass[i])
	}
	gauge := func(name, help string) prometheus.Gauge {
		g := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
		c.registry.MustRegister(g)
		return g
	}
	counter := func(name, help string) prometheus.Counter {
		n := prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
		c.registry.MustRegister(n)
		return n
	}
	c.pending = gauge("pending", "Jobs taken and not yet ended.")
	c.members = gauge("members", "Runners in the list.")
	c.unavailable = gauge("members_unavailable", "Listed runners that get no new work now, by hand or by choice.")
	c.reloads = counter("config_reloads", "Configuration files taken at SIGHUP.")
	c.reloadErrors = counter("config_reload_errors", "Configuration files turned down at SIGHUP.")
	c.classes.Store(&[]series{})
	return c
}

// SetClasses sets the names of the classes, indexed by class number. Classes are only ever added,
// so that existing series are kept; each new counter starts at 0. It must not be called
// concurrently with itself.
func (c *Counts) SetClasses(names []string) {
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

// count increments the counter of a class, given by its number, for an outcome.
func (c *Counts) count(class, outcome int) { (*c.classes.Load())[class][outcome].Inc() }

// Completed counts a job that was served.
func (c *Counts) Completed(class int) { c.count(class, completed) }

// Rejected counts a job that was rejected, for which a retry is safe.
func (c *Counts) Rejected(class int) { c.count(class, rejected) }

// Failed counts a job that ended in any other way.
func (c *Counts) Failed(class int) { c.count(class, failed) }

// Sent counts an attempt whose request has been written completely to a runner.
func (c *Counts) Sent(class int) { c.count(class, sent) }

// Pending adds to the number of jobs in progress: 1 for a job that was accepted, -1 for one that
// has ended.
func (c *Counts) Pending(change int) { c.pending.Add(float64(change)) }

// SetMembers sets the number of listed runners, and how many of them get no new work.
func (c *Counts) SetMembers(listed, unavailable int) {
	c.members.Set(float64(listed))
	c.unavailable.Set(float64(unavailable))
}

// Reloaded counts a reload of the configuration file that succeeded or, if ok is false, was
// rejected.
func (c *Counts) Reloaded(ok bool) {
	if ok {
		c.reloads.Inc()
	} else {
		c.reloadErrors.Inc()
	}
}

// RegisterStoredList registers the metrics of a process that may serve from a stored list of
// runners: the age of the list, 0 once discovery has confirmed it, and how many of its runners get
// work or are withheld. Status is called on each scrape. It must be called at most once.
func (c *Counts) RegisterStoredList(status func() (age time.Duration, used, withheld int)) {
	gauge := func(name, help string, value func(age time.Duration, used, withheld int) float64) {
		c.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help},
			func() float64 { return value(status()) }))
	}
	gauge("stored_list_age_seconds", "Age of the stored list that is served from; 0 for none.",
		func(age time.Duration, _, _ int) float64 { return age.Seconds() })
	gauge("stored_members_used", "Runners of the stored list that get work.",
		func(_ time.Duration, used, _ int) float64 { return float64(used) })
	gauge("stored_members_withheld", "Runners of the stored list that get none yet.",
		func(_ time.Duration, _, withheld int) float64 { return float64(withheld) })
}

// Handler returns an HTTP handler that writes the metrics in the Prometheus text format.
func (c *Counts) Handler() http.Handler {
	return promhttp.HandlerFor(c.registry, promhttp.HandlerOpts{DisableCompression: true})
}
