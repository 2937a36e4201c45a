package settings

import "time"

// File is a file's content.
type File struct {
	Path      string
	Platform  map[string]any // in the form of the platform's JSON file
	Log       Log
	State     State
	Cluster   Cluster
	Gang      Gang
	Gearman   Gearman
	Telemetry Telemetry
	Values    []Value // of all keys, for the command that shows what is in force
}

// Log says how the program logs.
type Log struct {
	Level, Format string
}

// Cluster says which other dispatchers this one knows, and how it reaches them.
type Cluster struct {
	Listen           string   // empty for a dispatcher without a cluster
	Advertise        string   // the address at which others reach it; empty for the same
	Join             []string // addresses of others
	Voters           []string // names of the members that replicate the log
	Dir              string   // of this member's replica of the log
	Discovery        string   // names the discovery whose versions count; empty for its address
	WatermarkDir     string   // a folder apart from Dir that stores how far the log has got; empty for none
	StagedRejoin     bool     // it rejoins by stages (package recovery/stage)
	Workflows        bool     // it compensates workflows that end halfway
	MaxCompensations int      // at once, of this member
	PacedAdmission   bool     // after a rejoin it admits jobs at a rate that rises with what is served
}

// Gang says whether gangs of jobs are watched.
type Gang struct {
	Enabled        bool
	ReportInterval time.Duration // between the runners' reports of progress; 0 for none
	Speculative    bool          // jobs that straggle are sent a second time
}

// Gearman says how Gearman's clients and workers are served.
type Gearman struct {
	Listen      string            // empty for not at all
	Functions   map[string]string // to the name of their class
	Zone, Kind  string            // of the workers
	Connections int64             // at most
	Jobs        int64             // at most
	Packet      int64             // bytes at most
	Certificate string            // a file; empty for plain text
	Key         string            // a file
	Clients     string            // a file with the authorities of clients' certificates; empty for none
}

// State says what is stored of the runners.
type State struct {
	Dir             string // empty for nothing
	Generations     int64
	WriteInterval   time.Duration // minimum time between two generations
	Fresh, Old, Max time.Duration // the bounds of ages
	DoubtTimeout    time.Duration // how long a full list is doubted at most
	MaxMissing      float64       // fraction of the known runners that a full list may lack after an outage
}

// Telemetry says what is exported. A nil or zero field leaves the value to the environment and the defaults.
type Telemetry struct {
	Service         string
	Attributes      map[string]string
	SampleRatio     *float64 // of the plain traces, from 0 to 1
	MetricsInterval time.Duration
	BatchDelay      time.Duration
	Queue           int64 // bytes
	OTLP            OTLP
	File            TraceFile
}

// OTLP names a collector.
type OTLP struct {
	Endpoint, Protocol, Compression           string
	Headers                                   map[string]string
	Timeout                                   time.Duration
	Certificate, ClientCertificate, ClientKey string // files
	Traces, Metrics                           *bool  // whether the signal is exported
}

// TraceFile names a file that is written in place of, or beside, the export to a collector.
type TraceFile struct {
	Path  string // empty for none
	Size  int64  // bytes, past which the file is rotated
	Files int64  // kept at most, including the one that is written
}

// Value is the value of one key, and where it was set.
type Value struct {
	Key         string // with [i] for the items of lists
	Text        string // as TOML has it
	Source      string // "default", or the file and the line
	PlatformKey string // the key of the platform's form that takes precedence; empty for none
}
