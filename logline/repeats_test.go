package logline_test

import (
	"strconv"
	"testing"
	"time"

	"amaranthsill/logline"
)

func TestRepeatsAllowOneLinePerSubjectAndMinute(t *testing.T) {
	r := &logline.Repeats{}
	lines, leftOut := 0, 0
	for second := range 120 {
		if ok, n := r.Allow("servers/a", time.Duration(second)*time.Second); ok {
			lines++
			leftOut += n
		}
	}
	if lines != 2 || leftOut != 59 {
		t.Errorf("%d lines that stand for %d more, want 2 and 59", lines, leftOut)
	}
}

func TestRepeatsAllowFewSubjects(t *testing.T) {
	r := &logline.Repeats{}
	lines := 0
	for n := range 1000 {
		if ok, _ := r.Allow(strconv.Itoa(n), time.Hour); ok {
			lines++
		}
	}
	if lines != 20 {
		t.Errorf("%d lines, want 20", lines)
	}
}
