package detector_test

import (
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/detector"
)

func TestIsStalled(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	late := start.Add(detector.StallTimeout + time.Second)
	for test, want := range map[string]struct {
		act     func(d *detector.Detector)
		stalled bool
	}{
		"no attempts":                    {func(*detector.Detector) {}, false},
		"no progress":                    {func(d *detector.Detector) { d.Start(start) }, true},
		"recent progress":                {func(d *detector.Detector) { d.Start(start); d.Progress(late) }, false},
		"another attempt is no progress": {func(d *detector.Detector) { d.Start(start); d.Start(late) }, true},
		"new attempt after an idle time": {func(d *detector.Detector) { d.Start(start); d.End(); d.Start(late) }, false},
		"attempt was cancelled":          {func(d *detector.Detector) { d.Start(start); d.End() }, false},
	} {
		t.Run(test, func(t *testing.T) {
			d := detector.New()
			want.act(d)
			if got := d.IsStalled(late); got != want.stalled {
				t.Errorf("got %t", got)
			}
		})
	}
}
