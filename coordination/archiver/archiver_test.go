package archiver_test

import (
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/archiver"
	"github.com/kingcupstile/kingcupstile/state/attempt"
)

const (
	limit         = 10 << 10
	maxAnswerSize = 4 << 10
	answers       = 20
)

var start = time.Unix(1_800_000_000, 0)

func TestAnswersStayWithinLimit(t *testing.T) {
	a := archiver.New(archiver.Limit(limit), archiver.MaxAnswerSize(maxAnswerSize))
	running := attempt.New("runs")
	open := a.Open(running)
	a.Append(open, attempt.NewFrame(0, attempt.Data(make([]byte, maxAnswerSize/2))))
	for i := range answers {
		at := attempt.New("r", attempt.Number(i+1), attempt.Repeatable(true))
		a.Append(a.Open(at), attempt.NewFrame(0, attempt.Data(make([]byte, maxAnswerSize/2))))
		a.Finish(at, start)
		if size := a.Size(); size > limit {
			t.Fatalf("%d bytes stored after %d answers", size, i+1)
		}
	}
	oldest, found := a.Find("try/r#1")
	if !found || oldest.Frames() != nil {
		t.Errorf("oldest: found %t, with frames %t; it must be found without frames", found, oldest.Frames() != nil)
	}
	if latest, _ := a.Find("r#20"); latest.Frames() == nil {
		t.Error("the latest answer was evicted")
	}
	if unfinished, _ := a.Find(running.ID()); unfinished.Frames() == nil {
		t.Error("an unfinished answer was evicted")
	}
	if a.Append(open, attempt.NewFrame(0, attempt.Data(make([]byte, maxAnswerSize)))) {
		t.Error("a frame was added beyond the size limit")
	}
	a.Finish(running, start)
	a.RemoveExpired(start)
	if _, found := a.Find("r#20"); found || a.Size() != 0 {
		t.Errorf("after the expiry: found %t, %d bytes", found, a.Size())
	}
}
