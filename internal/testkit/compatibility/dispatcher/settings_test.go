package compatibility_test

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"frosttide/internal/dispatcher/export"
	"frosttide/internal/dispatcher/settings"
)

// TestCompatibilitySettings checks the meaning of settings files: their equivalent in the
// platform's form, the value and source of each key with the platform's key that takes precedence,
// and the settings that the platform's form does not have.
func TestCompatibilitySettings(t *testing.T) {
	for _, name := range []string{"everything", "defaults", "least"} {
		t.Run(name, func(t *testing.T) {
			file, err := settings.Parse(name+".toml", readFile(t, "settings/"+name+".toml"))
			if err != nil {
				t.Fatal(err)
			}
			var values []string
			for _, v := range file.Values {
				values = append(values, fmt.Sprintf("%s = %s # %s; %s", v.Key, v.Text, v.Source, v.PlatformKey))
			}
			state, cluster, gang, gearman, telemetry := file.State, file.Cluster, file.Gang, file.Gearman, file.Telemetry
			orUnset := func(v any) string {
				switch v := v.(type) {
				case *bool:
					if v != nil {
						return fmt.Sprint(*v)
					}
				case *float64:
					if v != nil {
						return fmt.Sprint(*v)
					}
				}
				return "left open"
			}
			compareGoldenJSON(t, "settings/"+name+".golden.json", map[string]any{
				"platform": file.Platform,
				"values":   values,
				"log":      fmt.Sprint(file.Log.Level, ", ", file.Log.Format),
				"state": fmt.Sprint(state.Dir, ", ", state.Generations, ", ", state.WriteInterval, ", ", state.Fresh, ", ", state.Old, ", ", state.Max, ", ",
					state.DoubtTimeout, ", ", state.MaxMissing),
				"cluster": fmt.Sprint(cluster.Listen, ", ", cluster.Advertise, ", ", cluster.Join, ", ", cluster.Voters, ", ", cluster.Dir, ", ",
					cluster.Discovery, ", ", cluster.WatermarkDir, ", ", cluster.StagedRejoin, ", ", cluster.PacedAdmission, ", ", cluster.Workflows, ", ", cluster.MaxCompensations),
				"gang": fmt.Sprint(gang.Enabled, ", ", gang.ReportInterval, ", ", gang.Speculative),
				"gearman": fmt.Sprint(gearman.Listen, ", ", gearman.Functions, ", ", gearman.Zone, ", ", gearman.Kind, ", ", gearman.Connections, ", ",
					gearman.Jobs, ", ", gearman.Packet, ", ", gearman.Certificate, ", ", gearman.Key, ", ", gearman.Clients),
				"telemetry": fmt.Sprint(telemetry.Service, ", ", telemetry.Attributes, ", ", orUnset(telemetry.SampleRatio), ", ", telemetry.MetricsInterval, ", ",
					telemetry.BatchDelay, ", ", telemetry.Queue, ", ", telemetry.File.Path, ", ", telemetry.File.Size, ", ", telemetry.File.Files),
				"telemetry.otlp": fmt.Sprint(telemetry.OTLP.Endpoint, ", ", telemetry.OTLP.Protocol, ", ", telemetry.OTLP.Compression, ", ",
					telemetry.OTLP.Headers, ", ", telemetry.OTLP.Timeout, ", ", telemetry.OTLP.Certificate, ", ", telemetry.OTLP.ClientCertificate, ", ",
					telemetry.OTLP.ClientKey, ", ", orUnset(telemetry.OTLP.Traces), ", ", orUnset(telemetry.OTLP.Metrics)),
			})
		})
	}
}

// TestCompatibilitySettingsMistakes checks the error messages for invalid settings files, with
// their lines and keys.
func TestCompatibilitySettingsMistakes(t *testing.T) {
	paths, err := filepath.Glob("testdata/settings/mistakes-*.toml")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no settings files with mistakes found, error: %v", err)
	}
	messages := map[string][]string{}
	for _, path := range paths {
		name := filepath.Base(path)
		file, err := settings.Parse(name, readFile(t, "settings/"+name))
		if err == nil {
			t.Errorf("%s: accepted as %v, want an error", name, file.Platform)
			continue
		}
		messages[name] = strings.Split(err.Error(), "\n")
	}
	compareGoldenJSON(t, "settings/mistakes.golden.json", messages)
}

// TestCompatibilityTelemetryEnvironment checks the names and defaults of the environment variables
// of OpenTelemetry's specification, and the warnings and errors for invalid values.
func TestCompatibilityTelemetryEnvironment(t *testing.T) {
	const endpoint = "OTEL_EXPORTER_OTLP_ENDPOINT=http://127.0.0.1:4318"
	for _, tc := range []struct {
		name        string
		environment []string
	}{
		{"nothing", nil},
		{"endpoint", []string{endpoint}},
		{"disabled", []string{endpoint, "OTEL_SDK_DISABLED=true"}},
		{"common", []string{endpoint, "OTEL_EXPORTER_OTLP_PROTOCOL=grpc", "OTEL_EXPORTER_OTLP_COMPRESSION=gzip", "OTEL_EXPORTER_OTLP_TIMEOUT=1234",
			"OTEL_EXPORTER_OTLP_HEADERS=a=1,b=x%20y", "OTEL_SERVICE_NAME=edge", "OTEL_RESOURCE_ATTRIBUTES=k=v,service.name=other",
			"OTEL_METRIC_EXPORT_INTERVAL=2000", "OTEL_BSP_SCHEDULE_DELAY=300", "OTEL_BSP_MAX_EXPORT_BATCH_SIZE=99999",
			"OTEL_EXPORTER_OTLP_METRICS_TEMPORALITY_PREFERENCE=delta", "OTEL_TRACES_SAMPLER=parentbased_traceidratio", "OTEL_TRACES_SAMPLER_ARG=0.25"}},
		{"own of each signal", []string{"OTEL_EXPORTER_OTLP_TRACES_ENDPOINT=http://127.0.0.1:1/t", "OTEL_EXPORTER_OTLP_METRICS_ENDPOINT=http://127.0.0.1:2/m",
			"OTEL_EXPORTER_OTLP_TRACES_PROTOCOL=grpc", "OTEL_EXPORTER_OTLP_METRICS_COMPRESSION=gzip", "OTEL_EXPORTER_OTLP_TRACES_TIMEOUT=5",
			"OTEL_EXPORTER_OTLP_METRICS_HEADERS=m=1", "OTEL_EXPORTER_OTLP_TRACES_HEADERS=t=1"}},
		{"no metrics", []string{endpoint, "OTEL_METRICS_EXPORTER=none"}},
		{"no traces", []string{endpoint, "OTEL_TRACES_EXPORTER=none"}},
		{"insecure", []string{"OTEL_EXPORTER_OTLP_ENDPOINT=127.0.0.1:4317", "OTEL_EXPORTER_OTLP_PROTOCOL=grpc", "OTEL_EXPORTER_OTLP_INSECURE=true"}},
		{"mistakes that are passed over", []string{endpoint, "OTEL_EXPORTER_OTLP_PROTOCOL=pigeon", "OTEL_EXPORTER_OTLP_COMPRESSION=zip", "OTEL_EXPORTER_OTLP_TIMEOUT=-1",
			"OTEL_METRIC_EXPORT_INTERVAL=x", "OTEL_BSP_SCHEDULE_DELAY=0", "OTEL_BSP_MAX_EXPORT_BATCH_SIZE=1.5", "OTEL_SDK_DISABLED=perhaps",
			"OTEL_EXPORTER_OTLP_METRICS_TEMPORALITY_PREFERENCE=weekly", "OTEL_TRACES_SAMPLER=traceidratio", "OTEL_TRACES_SAMPLER_ARG=2", "OTEL_METRICS_EXPORTER=console"}},
		{"unknown sampler", []string{endpoint, "OTEL_TRACES_SAMPLER=coin"}},
		{"bad endpoint", []string{"OTEL_EXPORTER_OTLP_ENDPOINT=ftp://127.0.0.1"}},
		{"bad headers", []string{endpoint, "OTEL_EXPORTER_OTLP_HEADERS=a"}},
		{"bad attributes", []string{endpoint, "OTEL_RESOURCE_ATTRIBUTES=%zz=1,=2"}},
		{"no certificate", []string{"OTEL_EXPORTER_OTLP_ENDPOINT=https://127.0.0.1:4318", "OTEL_EXPORTER_OTLP_CERTIFICATE=testdata/none.pem"}},
		{"certificate without key", []string{"OTEL_EXPORTER_OTLP_ENDPOINT=https://127.0.0.1:4318", "OTEL_EXPORTER_OTLP_CLIENT_CERTIFICATE=testdata/none.pem"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			getenv := func(name string) string {
				for _, variable := range tc.environment {
					if value, found := strings.CutPrefix(variable, name+"="); found {
						return value
					}
				}
				return ""
			}
			golden := "environment/" + strings.ReplaceAll(tc.name, " ", "-") + ".golden.json"
			o, warnings, err := export.Resolve(settings.Telemetry{}, "n0", getenv)
			if err != nil {
				compareGoldenJSON(t, golden, map[string]any{"error": err.Error()})
				return
			}
			formatEndpoint := func(e export.Endpoint) string {
				return fmt.Sprint(e.URL, ", grpc ", e.GRPC, ", gzip ", e.Gzip, ", ", e.Headers, ", ", e.Timeout)
			}
			var values []string
			for _, v := range o.Values() {
				values = append(values, fmt.Sprintf("%s = %s # %s", v.Key, v.Text, v.Source))
			}
			compareGoldenJSON(t, golden, map[string]any{"warnings": warnings, "told": values, "traces": formatEndpoint(o.Traces), "metrics": formatEndpoint(o.Metrics),
				"resource": o.Resource, "sampler": fmt.Sprint(o.Sampler), "file": fmt.Sprint(o.File),
				"times": fmt.Sprint(o.MetricsInterval, ", ", o.BatchDelay, ", ", o.Batch, ", ", o.Queue, ", delta ", o.Delta)})
		})
	}
}
