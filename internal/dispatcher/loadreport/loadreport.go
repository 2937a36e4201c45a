// Package loadreport reads the load reports of runners, which are JSON objects or the value of a header. The connections
// to runners use it. It is safe for concurrent use.
package loadreport

import (
	"bytes"
	"encoding/json"
	"math"
	"strconv"
	"strings"
)

// Parse reads a report in the form of a JSON object or of the header, as some runners write the body of /_load, and
// returns its values in the order of columns. A value that is missing is NaN, so that such a runner looks neither full
// nor empty. It returns nil if there is no report or no column.
func Parse(text []byte, columns []string) []float32 {
	if bytes.HasPrefix(text, []byte(headerForm)) {
		return ParseHeader(string(text), columns)
	}
	var values map[string]any
	if len(columns) == 0 || json.Unmarshal(text, &values) != nil || len(values) == 0 {
		return nil
	}
	load := unknownValues(len(columns))
	for i, name := range columns {
		if v, ok := values[name].(float64); ok {
			load[i] = float32(v)
		}
	}
	return load
}

// headerForm is the start of a report that is name=value pairs.
const headerForm = "TEXT "

// ParseHeader reads a report in the form "TEXT name=value, name=value" and returns it as Parse does.
func ParseHeader(text string, columns []string) []float32 {
	text, ok := strings.CutPrefix(text, headerForm)
	if !ok || len(columns) == 0 {
		return nil
	}
	load := unknownValues(len(columns))
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		v, err := strconv.ParseFloat(value, 32)
		for i := range columns {
			if columns[i] == name && err == nil {
				load[i] = float32(v)
			}
		}
	}
	return load
}

// unknownValues returns a report all of whose values are missing.
func unknownValues(n int) []float32 {
	load := make([]float32, n)
	for i := range load {
		load[i] = float32(math.NaN())
	}
	return load
}
