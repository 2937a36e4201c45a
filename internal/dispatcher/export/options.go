package export

import (
	"cmp"
	"crypto/tls"
	"fmt"
	"maps"
	"reflect"
	"strconv"
	"time"

	"frosttide/internal/dispatcher/settings"
	"frosttide/internal/dispatcher/trace"
)

// Options say what is exported, and how. Make them with Resolve.
type Options struct {
	Traces, Metrics Endpoint
	File            settings.TraceFile // its path is empty for none
	Sampler         trace.Sampler
	Resource        map[string]string // attributes of this process
	MetricsInterval time.Duration     // between two exports of the figures
	BatchDelay      time.Duration     // how long a record waits for a full batch
	Batch           int               // records of a batch at most
	Queue           int               // bytes of records that wait at most, by their Size
	Delta           bool              // figures count from the export before, not from the start
}

// Endpoint is where one signal is sent.
type Endpoint struct {
	URL     string // empty for nowhere
	GRPC    bool
	Gzip    bool
	Headers map[string]string
	Timeout time.Duration // of one call
	TLS     *tls.Config   // nil for the system's own
	files   [3]string     // the names of the files of TLS
}

// Enabled reports whether anything is exported.
func (o *Options) Enabled() bool {
	return o.Traces.URL != "" || o.Metrics.URL != "" || o.File.Path != ""
}

// The defaults and bounds. Where OpenTelemetry's specification names a default it is that one.
const (
	defaultTimeout         = 10 * time.Second
	defaultMetricsInterval = time.Minute
	defaultBatchDelay      = 5 * time.Second
	defaultBatch           = 512
	defaultQueue           = 4 << 20
	defaultSize            = 64 << 20
	defaultFiles           = 5
	maxBatch               = 4096
)

// Resolve returns the options of the settings and the environment, which takes precedence. Name is the process's.
// Warnings name values of the environment that are ignored, as the specification has it for malformed numbers and
// choices; an address, header or certificate that can't be used is an error, as nothing would ever arrive.
//
// Source: OpenTelemetry specification 1.x, "Environment Variable Specification" and "OpenTelemetry Protocol Exporter".
func Resolve(telemetry settings.Telemetry, name string, getenv func(string) string) (o Options, warnings []string, err error) {
	env := environment{get: getenv, warnings: &warnings}
	o = Options{
		MetricsInterval: env.millis("OTEL_METRIC_EXPORT_INTERVAL", cmp.Or(telemetry.MetricsInterval, defaultMetricsInterval)),
		BatchDelay:      env.millis("OTEL_BSP_SCHEDULE_DELAY", cmp.Or(telemetry.BatchDelay, defaultBatchDelay)),
		Batch:           min(env.positiveInt("OTEL_BSP_MAX_EXPORT_BATCH_SIZE", defaultBatch), maxBatch),
		Queue:           int(cmp.Or(telemetry.Queue, defaultQueue)),
		File:            telemetry.File,
		Delta: env.choice("OTEL_EXPORTER_OTLP_METRICS_TEMPORALITY_PREFERENCE", "cumulative",
			"cumulative", "delta", "lowmemory") != "cumulative",
		Sampler: env.sampler(telemetry.SampleRatio),
	}
	o.File.Size, o.File.Files = cmp.Or(o.File.Size, defaultSize), cmp.Or(o.File.Files, defaultFiles)
	if o.Resource, err = resource(telemetry, name, getenv); err != nil {
		return Options{}, nil, err
	}
	if env.flag("OTEL_SDK_DISABLED") {
		o.File.Path = ""
		return o, warnings, nil
	}
	if o.Traces, err = env.endpoint("TRACES", "/v1/traces", telemetry.OTLP, telemetry.OTLP.Traces); err != nil {
		return Options{}, nil, err
	}
	if o.Metrics, err = env.endpoint("METRICS", "/v1/metrics", telemetry.OTLP, telemetry.OTLP.Metrics); err != nil {
		return Options{}, nil, err
	}
	return o, warnings, nil
}

// resource returns the attributes of this process.
func resource(telemetry settings.Telemetry, name string, getenv func(string) string) (map[string]string, error) {
	attributes := map[string]string{"service.name": cmp.Or(telemetry.Service, "frosttide"), "service.instance.id": name}
	maps.Copy(attributes, telemetry.Attributes)
	more, err := parsePairs(getenv("OTEL_RESOURCE_ATTRIBUTES"))
	if err != nil {
		return nil, fmt.Errorf("OTEL_RESOURCE_ATTRIBUTES: %w", err)
	}
	maps.Copy(attributes, more)
	attributes["service.name"] = cmp.Or(getenv("OTEL_SERVICE_NAME"), attributes["service.name"])
	return attributes, nil
}

// Values returns the options in force, as the command that checks a configuration shows them.
func (o *Options) Values() []settings.Value {
	var out []settings.Value
	add := func(key, text string) {
		out = append(out, settings.Value{Key: key, Text: text, Source: "in force, after the OTEL_ variables"})
	}
	for _, signal := range []struct {
		key      string
		endpoint Endpoint
	}{{"traces", o.Traces}, {"measures", o.Metrics}} {
		if signal.endpoint.URL == "" {
			add("telemetry."+signal.key+".to", "off")
			continue
		}
		protocol := "http/protobuf"
		if signal.endpoint.GRPC {
			protocol = "grpc"
		}
		add("telemetry."+signal.key+".to", strconv.Quote(signal.endpoint.URL))
		add("telemetry."+signal.key+".protocol", strconv.Quote(protocol))
		add("telemetry."+signal.key+".timeout", strconv.Quote(signal.endpoint.Timeout.String()))
	}
	if o.Enabled() {
		add("telemetry.sampler", fmt.Sprintf("{off = %t, plain = %g, parent = %t}", o.Sampler.Off, o.Sampler.Ratio, o.Sampler.Parent))
	}
	return out
}

// Equivalent reports whether other options are the same, so that a reload can keep connections and what is queued.
// Options with certificates are never equivalent, as the files may hold others under the same names.
func (o Options) Equivalent(other Options) bool {
	return o.Traces.TLS == nil && o.Metrics.TLS == nil && reflect.DeepEqual(o, other)
}
