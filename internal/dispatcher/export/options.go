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

// Options define what is exported and how. Resolve returns them with defaults applied.
type Options struct {
	Traces, Metrics Endpoint
	File            settings.TraceFile // an empty path disables it
	Sampler         trace.Sampler
	Resource        map[string]string // resource attributes of this process
	MetricsInterval time.Duration     // between two exports of the metrics
	BatchDelay      time.Duration     // maximum wait of a record for a full batch
	Batch           int               // maximum number of records in a batch
	Queue           int               // maximum bytes of queued records, by Record.Size
	Delta           bool              // metrics have delta, not cumulative temporality
}

// Endpoint is the destination of one signal.
type Endpoint struct {
	URL     string // empty if the signal is not exported
	GRPC    bool
	Gzip    bool
	Headers map[string]string
	Timeout time.Duration // of one call
	TLS     *tls.Config   // nil for unencrypted connections
	files   [3]string     // of the certificate authorities, the client certificate and its key
}

// Enabled reports whether anything is exported.
func (o *Options) Enabled() bool {
	return o.Traces.URL != "" || o.Metrics.URL != "" || o.File.Path != ""
}

// Defaults and bounds. Where the OpenTelemetry specification defines a default, that one is used.
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

// Resolve returns the options from the settings and the environment, which takes precedence. Name
// identifies this process. Warnings list values of the environment that are ignored, as the
// specification requires for malformed numbers and enum values; an unusable address, header or
// certificate is an error, as no data would ever arrive.
//
// Source: OpenTelemetry specification 1.x, "Environment Variable Specification" and "OpenTelemetry
// Protocol Exporter".
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

// resource returns the resource attributes of this process, from the settings and the environment.
func resource(telemetry settings.Telemetry, name string, getenv func(string) string) (map[string]string, error) {
	attributes := map[string]string{"service.name": cmp.Or(telemetry.Service, "frosttide"), "service.instance.id": name}
	maps.Copy(attributes, telemetry.Attributes)
	extra, err := parsePairs(getenv("OTEL_RESOURCE_ATTRIBUTES"))
	if err != nil {
		return nil, fmt.Errorf("OTEL_RESOURCE_ATTRIBUTES: %w", err)
	}
	maps.Copy(attributes, extra)
	attributes["service.name"] = cmp.Or(getenv("OTEL_SERVICE_NAME"), attributes["service.name"])
	return attributes, nil
}

// Values returns the options in force in the form in which the config check command prints them.
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

// Equivalent reports whether two sets of options are the same, so that a reload can keep
// connections and queued records. Options with TLS endpoints are never equivalent, as the contents
// of the certificate files may have changed.
func (o Options) Equivalent(other Options) bool {
	return o.Traces.TLS == nil && o.Metrics.TLS == nil && reflect.DeepEqual(o, other)
}
