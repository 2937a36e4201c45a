package gateway

import (
	"github.com/cockroachdb/errors"
	"github.com/valyala/fastjson"

	"frosttide/internal/protocol"
)

// ErrJob marks every error of a job's body that can't be parsed.
var ErrJob = errors.New("job")

func jobError(format string, args ...any) error {
	return errors.Mark(errors.Newf("job: "+format, args...), ErrJob)
}

// parseJob parses a job's body. Members that it does not know are passed over. Whether the parts of the job fit each
// other is checked by the control plane.
func parseJob(body []byte) (*protocol.Submit, error) {
	v, err := fastjson.ParseBytes(body)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "job: the body can't be read"), ErrJob)
	}
	if v.Type() != fastjson.TypeObject {
		return nil, jobError("the body is no object")
	}
	r := fieldReader{value: v}
	submit := &protocol.Submit{
		Spec:       r.text("Spec"),
		MaxRuns:    uint32(r.number("MaxRuns")),
		StartAtMs:  r.number("StartAtMs"),
		IntervalMs: r.number("IntervalMs"),
	}
	for i, stage := range v.GetArray("Stages") {
		stageReader := fieldReader{value: stage}
		submit.Stages = append(submit.Stages, stageReader.stage())
		if stageReader.err != nil {
			return nil, jobError("Stages[%d].%v", i, stageReader.err)
		}
	}
	return submit, r.err
}

// maxNumber bounds numbers, so that sums of them can't overflow.
const maxNumber = 1 << 50

// fieldReader reads the members of a JSON object. A member that is missing or null reads as the zero value. The first
// one of a wrong type is kept in err.
type fieldReader struct {
	value *fastjson.Value
	err   error
}

func (r *fieldReader) fail(name, want string) {
	if r.err == nil {
		r.err = jobError("%s: it is no %s", name, want)
	}
}

// get returns a member, nil where it is missing or null.
func (r *fieldReader) get(name string) *fastjson.Value {
	if v := r.value.Get(name); v != nil && v.Type() != fastjson.TypeNull {
		return v
	}
	return nil
}

func (r *fieldReader) text(name string) string {
	v := r.get(name)
	if v == nil {
		return ""
	}
	text, err := v.StringBytes()
	if err != nil {
		r.fail(name, "text")
	}
	return string(text)
}

// number reads a whole number from 0 to maxNumber.
func (r *fieldReader) number(name string) int64 {
	v := r.get(name)
	if v == nil {
		return 0
	}
	number, err := v.Float64()
	if err != nil || number < 0 || number > maxNumber || number != float64(int64(number)) {
		r.fail(name, "whole number in range")
		return 0
	}
	return int64(number)
}

// uint32 reads a whole number from 0 to 2^31.
func (r *fieldReader) uint32(name string) uint32 {
	n := r.number(name)
	if n > 1<<31 {
		r.fail(name, "number in range")
	}
	return uint32(n)
}

func (r *fieldReader) flag(name string) bool {
	v := r.get(name)
	if v == nil {
		return false
	}
	flag, err := v.Bool()
	if err != nil {
		r.fail(name, "true or false")
	}
	return flag
}

// stage reads a stage of a job.
func (r *fieldReader) stage() *protocol.Stage {
	return &protocol.Stage{
		Count:        r.uint32("Count"),
		Cpu:          r.number("Cpu"),
		MemMb:        r.number("MemMb"),
		Gpus:         r.number("Gpus"),
		EstimateMs:   r.number("EstimateMs"),
		Checkpoints:  r.flag("Checkpoints"),
		Gang:         r.flag("Gang"),
		SameRack:     r.flag("SameRack"),
		Requirements: r.text("Requirements"),
		Affinity:     r.text("Affinity"),
		AntiAffinity: r.uint32("AntiAffinity"),
		Speculative:  r.flag("Speculative"),
		LongRunning:  r.flag("LongRunning"),
		DependsOn:    r.steps("DependsOn"),
	}
}

// steps reads a list of stages' indexes.
func (r *fieldReader) steps(name string) (steps []uint32) {
	for _, v := range r.value.GetArray(name) {
		step, err := v.Uint()
		if err != nil {
			r.fail(name, "list of steps")
		}
		steps = append(steps, uint32(step))
	}
	return steps
}
