package jobs

import (
	"strconv"
	"strings"
)

// TaskName is the name of a task in its parts. In text they are joined by dots: JOB.OCCURRENCE.STEP.INDEX.
type TaskName struct {
	Job                     string
	Occurrence, Step, Index int
}

// TaskID returns the name of a task of the step as text.
func (s *Step) TaskID(index int) string {
	return s.Job.ID + "." + strconv.Itoa(s.Occurrence.Number) + "." + strconv.Itoa(s.Number) + "." + strconv.Itoa(index)
}

// ParseTask returns the parts of a task's name, and false where the text is none.
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
