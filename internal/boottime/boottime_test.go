package boottime

import (
	"testing"
	"time"
)

func TestNowAdvances(t *testing.T) {
	const pause = 20 * time.Millisecond
	before, steady := Now(), time.Now()
	time.Sleep(pause)
	if passed, want := Now().Sub(before), time.Since(steady); passed < pause || passed > want+pause {
		t.Errorf("%v passed, %v by the steady clock", passed, want)
	}
}
