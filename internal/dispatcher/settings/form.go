package settings

import (
	"time"
)

// File is what a file says.
type File struct {
	Path      string
	Platform  map[string]any // in the form of the platform's JSON file
	Log       Log
	State     State
	Cluster   Cluster
	Gang      Gang
	Gearman   Gearman
	Telemetry Telemetry
	Values    []Value // of each key, for whoever wants to see what is in force
}

// Log says how the program logs.
type Log struct {
	Level, Format string
}

// Gang says whether gangs of jobs are watched.
type Gang struct {
	Enabled        bool
	ReportInterval time.Duration // between runners' reports of progress; 0 for none
	Speculative    bool          // parts that straggle are sent a second time
}

// Gearman says how Gearman's clients and workers are served.
type Gearman struct {
	Listen                    string            // empty for not at all
	Functions                 map[string]string // the class of each
	Zone, Kind                string            // of the workers
	Connections, Jobs, Packet int64
	Certificate, Key, Clients string // files
}

// State says what is kept on disk of the runners.
type State struct {
	Dir             string // empty for nothing
	Generations     int64
	WriteInterval   time.Duration // least time between two generations
	Fresh, Old, Max time.Duration // the bounds of ages
	DoubtTimeout    time.Duration // how long a list is doubted at most
	MaxMissing      float64       // of what is known that a list may lack after an outage
}

// Telemetry says what is told to collectors. Nil and empty fields leave the word to the
// environment and the defaults.
type Telemetry struct {
	Service         string
	Attributes      map[string]string
	SampleRatio     *float64 // share of plain traces that are kept
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
	Certificate, ClientCertificate, ClientKey string
	Traces, Metrics                           *bool
}

// TraceFile names a file that takes the place of a collector, or stands beside it.
type TraceFile struct {
	Path  string
	Size  int64 // bytes; the file is rotated past it
	Files int64 // kept at most, the one being written among them
}

// Value is one key's value and where it comes from.
type Value struct {
	Key         string // with [i] for the items of lists
	Text        string
	Source      string // "default", or the file and the line
	PlatformKey string // the key of the platform's form that goes before this one; empty for none
}
