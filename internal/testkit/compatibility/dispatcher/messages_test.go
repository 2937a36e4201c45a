package compatibility_test

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"

	"frosttide/decision"
	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/fleet/cluster"
	"frosttide/internal/dispatcher/fleet/gang/board"
	gangwatcher "frosttide/internal/dispatcher/fleet/gang/watcher"
	"frosttide/internal/dispatcher/fleet/members"
	"frosttide/internal/dispatcher/fleet/replica"
	"frosttide/internal/dispatcher/handover"
)

// setAll sets every exported field of a value, and one item of every list and map. The values count
// up from next so that fields differ; integers wrap around at 128 or 256.
func setAll(v reflect.Value, next *int) {
	if v.Type() == reflect.TypeFor[json.RawMessage]() {
		*next++
		v.SetBytes(fmt.Appendf(nil, `{"raw":%d}`, *next))
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		setAll(v.Elem(), next)
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				setAll(v.Field(i), next)
			}
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		setAll(v.Index(0), next)
	case reflect.Array:
		for i := range v.Len() {
			setAll(v.Index(i), next)
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		setAll(key, next)
		setAll(value, next)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Bool:
		v.SetBool(true)
	case reflect.String:
		*next++
		v.SetString(fmt.Sprint("text ", *next))
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		*next++
		v.SetInt(int64(*next % 128))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		*next++
		v.SetUint(uint64(*next % 256))
	case reflect.Float32, reflect.Float64:
		*next++
		v.SetFloat(float64(*next) + 0.5)
	default:
		panic("no value for a " + v.Type().String())
	}
}

// TestCompatibilityMessages checks the JSON of each message between processes of different builds
// and of each response to an operator: with every field set it is encoded to the same text, and
// decoding and encoding that text gives it again.
func TestCompatibilityMessages(t *testing.T) {
	for _, tc := range []struct {
		name    string // name of the golden file
		message any    // pointer to an empty message
	}{
		{"handover-state", &handover.State{}},     // from an older process to its successor
		{"handover-moved", &core.MovedRequest{}},  // an open job that is moved
		{"handover-event", &core.JobEvent{}},      // a runner's callback
		{"handover-exclusion", &core.Exclusion{}}, // an operator's exclusion of a runner
		{"member-meta", &members.Meta{}},          // gossiped as metadata of a member
		{"member-fact", &replica.Fact{}},          // gossiped, and exchanged to compare replicas
		{"member-health", &decision.Health{}},     // part of a fact, and of the runner list on disk
		{"member-gang", &board.Fact{}},            // part of a fact
		{"member-digest", &replica.Digest{}},      // exchanged to compare replicas
		{"operator-cluster", &cluster.Report{}},   // GET /api/cluster
		{"operator-gang", &gangwatcher.Status{}},  // GET /api/gang
	} {
		t.Run(tc.name, func(t *testing.T) {
			next := 0
			setAll(reflect.ValueOf(tc.message).Elem(), &next)
			text, err := json.MarshalIndent(tc.message, "", " ")
			if err != nil {
				t.Fatal(err)
			}
			name := "messages/" + tc.name + ".golden.json"
			compareGolden(t, name, append(text, '\n'))
			decoded := reflect.New(reflect.TypeOf(tc.message).Elem()).Interface()
			if err := json.Unmarshal(readFile(t, name), decoded); err != nil {
				t.Fatal(err)
			}
			reencoded, err := json.MarshalIndent(decoded, "", " ")
			if err != nil {
				t.Fatal(err)
			}
			compareGolden(t, name, append(reencoded, '\n'))
		})
	}
}

// TestCompatibilityHandoverPath checks the path of the socket at which a process finds its
// predecessor, which is derived from the address that both listen on.
func TestCompatibilityHandoverPath(t *testing.T) {
	paths := map[string]string{}
	for _, listen := range []string{"127.0.0.1:8081", "[::1]:8081", "studio.example:8081"} {
		paths[listen] = handover.Path("/run/frosttide", listen)
	}
	compareGoldenJSON(t, "messages/handover-path.golden.json", paths)
}
