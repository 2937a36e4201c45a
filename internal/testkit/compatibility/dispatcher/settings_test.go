package compatibility_test

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"frosttide/internal/dispatcher/export"
	"frosttide/internal/dispatcher/settings"
)

// TestCompatibilitySettings has the settings file mean the same: what it comes to in the platform's form, each key
// with its value, its source and the platform's key that goes before it, and what it says beside that.
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
			maybe := func(v any) string {
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
				"telemetry": fmt.Sprint(telemetry.Service, ", ", telemetry.Attributes, ", ", maybe(telemetry.SampleRatio), ", ", telemetry.MetricsInterval, ", ",
					telemetry.BatchDelay, ", ", telemetry.Queue, ", ", telemetry.File.Path, ", ", telemetry.File.Size, ", ", telemetry.File.Files),
				"telemetry.otlp": fmt.Sprint(telemetry.OTLP.Endpoint, ", ", telemetry.OTLP.Protocol, ", ", telemetry.OTLP.Compression, ", ",
					telemetry.OTLP.Headers, ", ", telemetry.OTLP.Timeout, ", ", telemetry.OTLP.Certificate, ", ", telemetry.OTLP.ClientCertificate, ", ",
					telemetry.OTLP.ClientKey, ", ", maybe(telemetry.OTLP.Traces), ", ", maybe(telemetry.OTLP.Metrics)),
			})
		})
	}
}

// TestCompatibilitySettingsMistakes has every mistake of a settings file told in the same words, with its line and
// key.
func TestCompatibilitySettingsMistakes(t *testing.T) {
	paths, err := filepath.Glob("testdata/settings/mistakes-*.toml")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no files, %v", err)
	}
	told := map[string][]string{}
	for _, path := range paths {
		name := filepath.Base(path)
		file, err := settings.Parse(name, readFile(t, "settings/"+name))
		if err == nil {
			t.Errorf("%s was taken as %v", name, file.Platform)
			continue
		}
		told[name] = strings.Split(err.Error(), "\n")
	}
	compareGoldenJSON(t, "settings/mistakes.golden.json", told)
}

// TestCompatibilityTelemetryEnvironment has the variables of OpenTelemetry's specification read under their names
// and with the same defaults, and what can't be meant passed over or refused in the same words.
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
			end := func(e export.Endpoint) string {
				return fmt.Sprint(e.URL, ", grpc ", e.GRPC, ", gzip ", e.Gzip, ", ", e.Headers, ", ", e.Timeout)
			}
			var told []string
			for _, v := range o.Values() {
				told = append(told, fmt.Sprintf("%s = %s # %s", v.Key, v.Text, v.Source))
			}
			compareGoldenJSON(t, golden, map[string]any{"warnings": warnings, "told": told, "traces": end(o.Traces), "metrics": end(o.Metrics),
				"resource": o.Resource, "sampler": fmt.Sprint(o.Sampler), "file": fmt.Sprint(o.File),
				"times": fmt.Sprint(o.MetricsInterval, ", ", o.BatchDelay, ", ", o.Batch, ", ", o.Queue, ", delta ", o.Delta)})
		})
	}
}
