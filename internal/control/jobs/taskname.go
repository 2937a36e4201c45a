package jobs

import (
	"strconv"
	"strings"
)

// TaskName identifies a task. Its text form is JOB.OCCURRENCE.STEP.INDEX.
type TaskName struct {
	Job                     string
	Occurrence, Step, Index int
}

// TaskID returns the text form of the name of the step's task with the given index.
func (s *Step) TaskID(index int) string {
	return s.Job.ID + "." + strconv.Itoa(s.Occurrence.Number) + "." + strconv.Itoa(s.Number) + "." + strconv.Itoa(index)
}

// ParseTask parses the text form of a task's name. It returns false if the text is malformed. The
// job's ID is not checked.
func ParseTask(name string) (TaskName, bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return TaskName{}, false
	}
	var numbers [3]int
	for i, p := range parts[1:] {
		n, err := strconv.Atoi(p)
		if err != nil || n < 0 {
			return TaskName{}, false
		}
		numbers[i] = n
	}
	return TaskName{Job: parts[0], Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, true
}
