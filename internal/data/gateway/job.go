package gateway

import (
	"github.com/cockroachdb/errors"
	"github.com/valyala/fastjson"

	"frosttide/internal/protocol"
)

// ErrJob marks every reason why a job can't be read.
var ErrJob = errors.New("job")

func jobError(format string, args ...any) error {
	return errors.Mark(errors.Newf("job: "+format, args...), ErrJob)
}

// parseJob reads a job's body. Whether its parts fit each other is checked by the control plane.
func parseJob(body []byte) (*protocol.Submit, error) {
	v, err := fastjson.ParseBytes(body)
	if err != nil {
		return nil, jobError("the body can't be read: %v", err)
	}
	if v.Type() != fastjson.TypeObject {
		return nil, jobError("the body is no object")
	}
	r := fieldReader{value: v}
	s := &protocol.Submit{Spec: r.text("Spec"), MaxRuns: uint32(r.number("MaxRuns")), StartAtMs: r.number("StartAtMs"), IntervalMs: r.number("IntervalMs")}
	for i, stage := range v.GetArray("Stages") {
		sr := fieldReader{value: stage}
		s.Stages = append(s.Stages, sr.stage())
		if sr.err != nil {
			return nil, jobError("Stages[%d].%v", i, sr.err)
		}
	}
	return s, r.err
}

// fieldReader reads the members of an object; the first that is not what it should be is kept as err.
type fieldReader struct {
	value *fastjson.Value
	err   error
}

func (r *fieldReader) fail(name, want string) {
	if r.err == nil {
		r.err = jobError("%s: it is no %s", name, want)
	}
}

func (r *fieldReader) text(name string) string {
	v := r.value.Get(name)
	if v == nil || v.Type() == fastjson.TypeNull {
		return ""
	}
	text, err := v.StringBytes()
	if err != nil {
		r.fail(name, "text")
	}
	return string(text)
}

// maxNumber bounds numbers, so that sums of them can't overflow.
const maxNumber = 1 << 50

func (r *fieldReader) number(name string) int64 {
	v := r.value.Get(name)
	if v == nil || v.Type() == fastjson.TypeNull {
		return 0
	}
	number, err := v.Float64()
	if err != nil || number < 0 || number > maxNumber || number != float64(int64(number)) {
		r.fail(name, "whole number in range")
		return 0
	}
	return int64(number)
}

func (r *fieldReader) flag(name string) bool {
	v := r.value.Get(name)
	if v == nil || v.Type() == fastjson.TypeNull {
		return false
	}
	flag, err := v.Bool()
	if err != nil {
		r.fail(name, "true or false")
	}
	return flag
}

func (r *fieldReader) stage() *protocol.Stage {
	s := &protocol.Stage{
		Count: r.uint32("Count"), Cpu: r.number("Cpu"), MemMb: r.number("MemMb"), Gpus: r.number("Gpus"), EstimateMs: r.number("EstimateMs"),
		Checkpoints: r.flag("Checkpoints"), Gang: r.flag("Gang"), SameRack: r.flag("SameRack"), Requirements: r.text("Requirements"), Affinity: r.text("Affinity"),
		AntiAffinity: r.uint32("AntiAffinity"), Speculative: r.flag("Speculative"), LongRunning: r.flag("LongRunning"),
	}
	for _, d := range r.value.GetArray("DependsOn") {
		n, err := d.Uint()
		if err != nil {
			r.fail("DependsOn", "list of steps")
		}
		s.DependsOn = append(s.DependsOn, uint32(n))
	}
	return s
}

// uint32 reads a number that fits 32 bits.
func (r *fieldReader) uint32(name string) uint32 {
	n := r.number(name)
	if n > 1<<31 {
		r.fail(name, "number in range")
	}
	return uint32(n)
}
