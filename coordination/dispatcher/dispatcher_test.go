package dispatcher_test

import (
	"slices"
	"testing"

	"github.com/kingcupstile/kingcupstile/coordination/dispatcher"
	"github.com/kingcupstile/kingcupstile/state/attempt"
	"github.com/kingcupstile/kingcupstile/state/ledger"
)

func frame(offset uint64, options ...attempt.FrameOption) dispatcher.Event {
	return dispatcher.FrameReceived{Frame: attempt.NewFrame(offset, options...)}
}

func end(outcome attempt.Outcome, reason string) dispatcher.Event {
	return frame(0, attempt.Last(outcome, reason))
}

type events = []dispatcher.Event

// times returns n copies of an event.
func times(n int, event dispatcher.Event) events { return slices.Repeat(events{event}, n) }

func settled(outcome attempt.Outcome) events {
	return events{dispatcher.SettleResult{Outcome: outcome}}
}

func TestWithEvent(t *testing.T) {
	const (
		forgotten            = string(ledger.KindForgotten)
		ran, notRun, unknown = attempt.OutcomeRan, attempt.OutcomeNotRun, attempt.OutcomeUnknown
	)
	unsent, cut, noReply := dispatcher.ConnectionFailed{}, dispatcher.ConnectionFailed{Sent: true}, dispatcher.SettleResult{NoReply: true}
	head := frame(0, attempt.Status(200, nil))
	resumesFailed := times(dispatcher.DefaultMaxResumes+1, cut)
	forgottenAfterCut := events{cut, end(unknown, forgotten)}
	large := frame(1, attempt.Last(ran, attempt.ReasonAnswerTooLarge))
	plain, keyed, repeatable := attempt.Number(1), attempt.Key("slip-7"), attempt.Repeatable(true)
	for name, test := range map[string]struct {
		option attempt.Option
		events events
		want   string
	}{
		"timeout before anything was written":    {plain, events{dispatcher.DeadlineExceeded{}}, "not-run"},
		"timeout after it was written":           {plain, events{dispatcher.DeadlineExceeded{Sent: true}}, "unknown"},
		"timeout of an unwritten key":            {keyed, events{dispatcher.DeadlineExceeded{}}, "unknown"},
		"unwritten goes elsewhere":               {plain, events{unsent}, "send"},
		"unwritten three times":                  {plain, times(3, unsent), "not-run"},
		"unwritten key is resent":                {keyed, times(3, unsent), "send"},
		"unwritten key, resends used up":         {keyed, times(4, unsent), "unknown"},
		"cut is resumed":                         {plain, events{cut}, "resume"},
		"settled after the last resume failed":   {plain, resumesFailed, "settle"},
		"settle without reply is retried":        {plain, slices.Concat(resumesFailed, events{noReply}), "settle"},
		"settle never gets a reply":              {plain, slices.Concat(resumesFailed, times(3, noReply)), "unknown"},
		"settled not run goes elsewhere":         {plain, slices.Concat(resumesFailed, settled(notRun)), "send"},
		"settled ran":                            {plain, slices.Concat(resumesFailed, settled(ran)), "unknown"},
		"settled by another incarnation":         {plain, slices.Concat(resumesFailed, settled(unknown)), "unknown"},
		"key settled not run":                    {keyed, slices.Concat(resumesFailed, settled(notRun)), "not-run"},
		"unknown to the endpoint, settled":       {plain, forgottenAfterCut, "settle"},
		"unknown to the endpoint, key is resent": {keyed, forgottenAfterCut, "send"},
		"forgotten without a cut":                {plain, events{end(unknown, forgotten)}, "unknown"},
		"refused goes elsewhere":                 {plain, events{end(notRun, "leaving")}, "send"},
		"refused key":                            {keyed, events{end(notRun, "leaving")}, "not-run"},
		"another incarnation":                    {plain, events{end(unknown, "incarnation")}, "unknown"},
		"repeatable cut twice goes elsewhere":    {repeatable, times(2, cut), "send"},
		"repeatable, then refused everywhere":    {repeatable, events{cut, cut, unsent, unsent}, "unknown"},
		"repeatable after the first frame":       {repeatable, slices.Concat(events{head}, resumesFailed), "unknown"},
		"engine failed a repeatable":             {repeatable, events{end(unknown, attempt.ReasonEngineFailed)}, "send"},
		"a new frame resets the resumes":         {plain, slices.Concat(times(8, cut), events{head, cut}), "resume"},
		"gap is resumed":                         {plain, events{head, frame(2)}, "resume"},
		"repeated gaps end the request":          {plain, slices.Concat(events{head}, times(9, frame(2))), "unknown"},
		"duplicate frame":                        {plain, events{head, head}, "ignore"},
		"late answer to a settle is ignored":     {plain, slices.Concat(events{head}, settled(notRun)), "ignore"},
		"not run after a forwarded frame":        {plain, events{head, end(notRun, "buried")}, "unknown"},
		"ran, answer gone":                       {plain, events{end(ran, attempt.ReasonAnswerGone)}, "ran"},
		"large answer is truncated":              {plain, events{head, large}, "ran"},
	} {
		t.Run(name, func(t *testing.T) {
			d := dispatcher.New(attempt.New("r", test.option))
			var action dispatcher.Action
			for _, event := range test.events {
				d, action = d.WithEvent("desk-1", event)
			}
			got := string(action.Do)
			if action.Do == dispatcher.DoConclude {
				got = string(action.Outcome)
			}
			if got != test.want {
				t.Errorf("got %s, want %s", got, test.want)
			}
		})
	}
}

// TestWithheldAttemptDoesNotCount guards against requests whose attempts are used up by such as were never written, and that may run
// more often than is allowed.
func TestWithheldAttemptDoesNotCount(t *testing.T) {
	unsent, withheld, paused := dispatcher.ConnectionFailed{}, dispatcher.SendWithheld{}, dispatcher.AnswerPaused{}
	besideWithheld, besideFailed := dispatcher.StandbyWithheld{}, dispatcher.StandbyFailed{}
	for name, test := range map[string]struct {
		events events
		want   dispatcher.Do
		number int
	}{
		"first":                       {events{withheld, withheld}, dispatcher.DoSend, 1},
		"retry":                       {events{unsent, withheld}, dispatcher.DoSend, 2},
		"withheld, then failed":       {events{withheld, unsent}, dispatcher.DoSend, 2},
		"retry withheld, then failed": {events{unsent, withheld, unsent}, dispatcher.DoConclude, 2},
		"beside another":              {events{paused, besideWithheld}, dispatcher.DoIgnore, 1},
		"beside another, and again":   {events{paused, besideWithheld, paused}, dispatcher.DoStandby, 2},
		"beside another, and again, which failed": {events{paused, besideFailed, paused}, dispatcher.DoIgnore, 2},
	} {
		t.Run(name, func(t *testing.T) {
			d := dispatcher.New(attempt.New("r", attempt.Repeatable(true)), dispatcher.MaxAttempts(2), dispatcher.Direct())
			var action dispatcher.Action
			for _, event := range test.events {
				d, action = d.WithEvent("pool-1", event)
			}
			if action.Do != test.want || d.Number() != test.number {
				t.Errorf("got %s with number %d, want %s with %d", action.Do, d.Number(), test.want, test.number)
			}
		})
	}
}
