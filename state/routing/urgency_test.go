package routing_test

import (
	"testing"

	"github.com/kingcupstile/kingcupstile/state/routing"
)

// TestUrgencyTellsRoutesOfAnAccountApart guards against accounts whose own priority made all of their requests equally urgent, so that
// those of a less urgent route were served before others.
func TestUrgencyTellsRoutesOfAnAccountApart(t *testing.T) {
	route := func(priority int) routing.Route {
		return routing.NewRoute("r", "host", "/", routing.RepeatStream, routing.Priority(priority))
	}
	plain := routing.NewAccount("plain")
	first, second := routing.NewAccount("first").WithPriority(0), routing.NewAccount("second").WithPriority(1)
	for name, test := range map[string]struct{ urgent, less int }{
		"routes of one account":           {second.Urgency(route(0)), second.Urgency(route(2))},
		"the account's priority is first": {first.Urgency(route(9)), second.Urgency(route(0))},
		"accounts without a priority":     {plain.Urgency(route(0)), plain.Urgency(route(1))},
		"one with and one without":        {plain.Urgency(route(0)), second.Urgency(route(0))},
		"a negative priority of a route":  {first.Urgency(route(-1)), first.Urgency(route(1))},
	} {
		if test.urgent >= test.less {
			t.Errorf("%s: %d is not before %d", name, test.urgent, test.less)
		}
	}
}
