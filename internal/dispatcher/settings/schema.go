package settings

import "time"

// field describes one key of the settings file.
type field struct {
	key          string
	parse        func(any) (any, error) // validates and converts the TOML value
	platformKey  string                 // dotted key of the platform's form; empty if it has none
	defaultValue any                    // as a TOML value; nil for none
}

// microsecond is the unit of durations in the platform's form.
const microsecond = time.Microsecond

// maxDuration is the longest duration that a key may have. The platform's form has the same bound.
const maxDuration = time.Duration(1<<50) * time.Microsecond

// schema describes all keys except those in arrays of tables.
var schema = []field{
	{"name", nonEmptyString, "name", "frosttide"},
	{"seed", nonEmptyString, "seed", nil},
	{"listen.clients", address, "listen", "127.0.0.1:8081"},
	{"listen.console", address, "console", nil},
	{"discovery.address", address, "discovery", nil},
	{"discovery.list", oneOf("asked", "pushed"), "", "asked"},
	{"discovery.ask_within", micros(time.Millisecond), "settings.rules.ask-within", "10s"},
	{"fleet.zones", stringList, "settings.zones", nil},
	{"fleet.zone", nonEmptyString, "", nil},
	{"fleet.kinds", stringList, "settings.kinds", nil},
	{"fleet.dispatchers", integer(1, 1<<16), "settings.balancers", int64(1)},
	{"fleet.number", integer(0, 1<<16), "settings.me", int64(0)},
	{"fleet.tells_start", boolean, "settings.family-info.tells-start", true},
	{"fleet.weights", boolean, "", false},
	{"fleet.far_price", number(0, 1), "settings.deductions.cross-zone", 0.0},
	{"attempts.most", integer(1, 64), "settings.policy-limits.send-cap", int64(4)},
	{"attempts.second_copies", boolean, "settings.policy-limits.second-copies", false},
	{"attempts.may_cancel", boolean, "settings.policy-limits.may-cancel", true},
	{"attempts.connect_timeout", micros(time.Millisecond), "settings.policy-limits.connect-timeout", "250ms"},
	{"attempts.keepalive", micros(time.Millisecond), "settings.policy-limits.keepalive", "5s"},
	{"refusals.retry_after", boolean, "settings.policy-limits.retry-after", true},
	{"refusals.most_wait", micros(0), "settings.policy-limits.max-retry-after", "2s"},
	{"probes.allowed", boolean, "settings.policy-limits.probing", true},
	{"probes.report", oneOf("none", "probe", "answers"), "settings.report.source", "none"},
	{"probes.columns", stringList, "settings.report.columns", nil},
	{"probes.free_slots", nonEmptyString, "", nil},
	{"cold.starts_at", number(0, 1), "settings.rules.cold-from", 1.0},
	{"cold.warm_within", micros(0), "settings.rules.warm-within", "0s"},
	{"cold.falls_at", number(0, 1000), "settings.rules.fall-multiple", 1.0},
	{"cold.falls_within", micros(0), "settings.rules.fall", "1s"},
	{"drain.grace", micros(0), "settings.rules.drain-grace", "500ms"},
	{"limits.cores", number(0.01, 1024), "limits.cores", 1.0},
	{"limits.memory", megabytes(32, 1<<20), "limits.memory_mb", "192MB"},
	{"limits.sockets", integer(64, 1<<20), "limits.sockets", int64(1024)},
	{"log.level", oneOf("error", "warn", "info", "debug"), "", "info"},
	{"log.format", oneOf("text", "json"), "", "text"},
	{"gearman.listen", address, "", nil},
	{"gearman.functions", stringTable, "", nil},
	{"gearman.zone", nonEmptyString, "", nil},
	{"gearman.kind", nonEmptyString, "", nil},
	{"gearman.connections", integer(1, 1<<16), "", int64(256)},
	{"gearman.jobs", integer(1, 1<<20), "", int64(1000)},
	{"gearman.packet", size(1<<10, 64<<20), "", "1MB"},
	{"gearman.certificate", nonEmptyString, "", nil},
	{"gearman.key", nonEmptyString, "", nil},
	{"gearman.client_certificates", nonEmptyString, "", nil},
	{"state.dir", nonEmptyString, "", nil},
	{"state.generations", integer(2, 100), "", int64(DefaultStateGenerations)},
	{"state.every", duration(10 * time.Millisecond), "", "1s"},
	{"state.fresh", duration(0), "", "2m"},
	{"state.old", duration(0), "", "1h"},
	{"state.max_age", duration(time.Second), "", "168h"},
	{"state.doubt_for", duration(time.Second), "", "30s"},
	{"state.doubt_share", number(0, 1), "", 0.5},
	{"cluster.listen", address, "", nil},
	{"cluster.advertise", address, "", nil},
	{"cluster.join", stringList, "", nil},
	{"cluster.voters", stringList, "", nil},
	{"cluster.dir", nonEmptyString, "", nil},
	{"cluster.discovery", nonEmptyString, "", nil},
	{"cluster.plain_text", boolean, "", false},
	{"recovery.keep", nonEmptyString, "", nil},
	{"recovery.stages", boolean, "", true},
	{"recovery.paced", boolean, "", false},
	{"gang.enabled", boolean, "", false},
	{"gang.reports_every", duration(0), "", "2s"},
	{"gang.copies", boolean, "", true},
	{"workflow.enabled", boolean, "", false},
	{"workflow.undos_at_once", integer(1, 1024), "", int64(16)},
	{"telemetry.service", nonEmptyString, "", nil},
	{"telemetry.attributes", stringTable, "", nil},
	{"telemetry.plain", number(0, 1), "", nil},
	{"telemetry.measures_every", duration(100 * time.Millisecond), "", nil},
	{"telemetry.batch_every", duration(10 * time.Millisecond), "", nil},
	{"telemetry.queue", size(64<<10, 64<<20), "", nil},
	{"telemetry.otlp.endpoint", nonEmptyString, "", nil},
	{"telemetry.otlp.protocol", oneOf("http/protobuf", "grpc"), "", nil},
	{"telemetry.otlp.headers", stringTable, "", nil},
	{"telemetry.otlp.timeout", duration(10 * time.Millisecond), "", nil},
	{"telemetry.otlp.compression", oneOf("none", "gzip"), "", nil},
	{"telemetry.otlp.certificate", nonEmptyString, "", nil},
	{"telemetry.otlp.client_certificate", nonEmptyString, "", nil},
	{"telemetry.otlp.client_key", nonEmptyString, "", nil},
	{"telemetry.otlp.traces", boolean, "", nil},
	{"telemetry.otlp.measures", boolean, "", nil},
	{"telemetry.file.path", nonEmptyString, "", nil},
	{"telemetry.file.max_size", size(64<<10, 1<<40), "", nil},
	{"telemetry.file.max_files", integer(1, 1000), "", nil},
}

// classSchema describes the keys of a request class, [[class]].
var classSchema = []field{
	{"name", nonEmptyString, "name", nil},
	{"effect", oneOf("safe", "keyed", "unsafe"), "effect", "safe"},
	{"repeats_dropped_by", oneOf("all", "zone", "cell"), "group", "all"},
	{"window", micros(0), "window", "0s"},
	{"wanted_within", micros(time.Millisecond), "aim", nil},
	{"stretch", number(0, 1000), "aim-stretch", 0.0},
	{"give_up", micros(time.Millisecond), "give-up", nil},
	{"worth", number(0, 1e9), "worth", 1.0},
	{"late_worth", number(0, 1), "late-worth", 0.0},
	{"kind", nonEmptyString, "", nil},
	{"priority", integer(0, 1000), "", int64(0)},
}

// tenantSchema describes the keys of a tenant, [[tenant]].
var tenantSchema = []field{
	{"name", nonEmptyString, "name", nil},
	{"per_second", number(0, 1e9), "quota-per-s", 0.0},
}

// runnerSchema describes the keys of a runner, [[runner]], in a fixed list that replaces discovery.
var runnerSchema = []field{
	{"id", nonEmptyString, "uid", nil},
	{"address", address, "endpoint", nil},
	{"zone", nonEmptyString, "az", nil},
	{"kind", nonEmptyString, "model", nil},
	{"cell", integer(0, 1<<30), "pod_group", int64(0)},
	{"weight", number(0, 1e6), "capacity_hint", 1.0},
}

// secretKeys holds the keys whose values must not be printed.
var secretKeys = map[string]bool{"telemetry.otlp.headers": true}

// requiredKeys holds the keys that an item of an array of tables must set.
var requiredKeys = map[string]bool{"name": true, "wanted_within": true, "give_up": true, "id": true, "address": true}
