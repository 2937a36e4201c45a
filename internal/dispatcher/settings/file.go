package settings

import "time"

// File is the content of a settings file, with defaults for the keys that it does not set.
type File struct {
	Path      string
	Platform  map[string]any // in the form of the platform's JSON file, by its keys
	Log       Log
	State     State
	Cluster   Cluster
	Gang      Gang
	Gearman   Gearman
	Telemetry Telemetry
	Values    []Value // of all keys, for the command that prints the effective configuration
}

// Log configures the log: its level, and its format, text or json.
type Log struct {
	Level, Format string
}

// Cluster configures the cluster of dispatchers that this one is a member of.
type Cluster struct {
	Listen           string   // address to listen on; empty without a cluster
	Advertise        string   // address at which other members reach this one; empty for Listen
	Join             []string // addresses of other members
	Voters           []string // names of the members that vote on and store the replicated log
	Dir              string   // directory of this member's replica of the log
	Discovery        string   // names the discovery of the list versions; empty for its address
	WatermarkDir     string   // directory apart from Dir for the log's watermark; empty for none
	StagedRejoin     bool     // a restarted member rejoins in stages (package recovery/stage)
	Workflows        bool     // this member compensates workflows that end halfway
	MaxCompensations int      // maximum number of concurrent compensations by this member
	PacedAdmission   bool     // after a rejoin, the admission rate rises with the rate served
}

// Gang configures the detection of straggling parts of gang jobs.
type Gang struct {
	Enabled        bool
	ReportInterval time.Duration // interval of the runners' progress reports; 0 for none
	Speculative    bool          // a straggling part gets a second copy (speculative execution)
}

// Gearman configures the server for Gearman clients and workers.
type Gearman struct {
	Listen      string            // address to listen on; empty to disable the server
	Functions   map[string]string // class name by function name
	Zone, Kind  string            // of all workers that connect to this server
	Connections int64             // maximum number of connections
	Jobs        int64             // maximum number of open jobs
	Packet      int64             // maximum size in bytes
	Certificate string            // path; empty to serve without TLS
	Key         string            // path
	Clients     string            // path of the CAs of client certificates; empty for none
}

// State configures the runner list that the dispatcher stores on disk.
type State struct {
	Dir             string        // directory; empty to store nothing
	Generations     int64         // number of generations to keep
	WriteInterval   time.Duration // minimum time between two generations
	Fresh, Old, Max time.Duration // age limits of a stored list, in ascending order
	DoubtTimeout    time.Duration // time after which a doubted full list is accepted
	// MaxMissing is the fraction of the known runners that a full list may lack after an outage
	// without being doubted.
	MaxMissing float64
}

// Telemetry configures the export of traces and metrics. A nil or zero field leaves the value to
// the environment and the defaults.
type Telemetry struct {
	Service         string
	Attributes      map[string]string
	SampleRatio     *float64 // fraction of the ordinary traces that are kept, from 0 to 1
	MetricsInterval time.Duration
	BatchDelay      time.Duration
	Queue           int64 // maximum size of each export queue in bytes
	OTLP            OTLP
	File            TraceFile
}

// OTLP configures the export to an OTLP collector.
type OTLP struct {
	Endpoint, Protocol, Compression           string
	Headers                                   map[string]string
	Timeout                                   time.Duration
	Certificate, ClientCertificate, ClientKey string // paths
	Traces, Metrics                           *bool  // whether the signal is exported
}

// TraceFile configures a file to which traces are written, instead of or in addition to the export
// to a collector.
type TraceFile struct {
	Path  string // empty for none
	Size  int64  // size in bytes beyond which the file is rotated
	Files int64  // maximum number of files kept, including the one being written
}

// Value is the effective value of one key and where it was set.
type Value struct {
	Key         string // with [i] for the items of lists
	Text        string // in TOML syntax
	Source      string // "default", or FILE:LINE
	PlatformKey string // the key of the platform's JSON file that overrides it; empty for none
}
