package conductor

import "github.com/kingcupstile/kingcupstile/state/rank"

// minBatch is the number of effects of one kind from which they are batched: below it, separate calls arrive sooner
// than calls that other processes pass on.
const minBatch = 24

// batched replaces the requests for reports and the equal orders among effects by FetchReports and SendOrders, if there
// are at least minBatch of them.
func batched(effects []Effect) []Effect {
	if len(effects) < minBatch {
		return effects
	}
	var rest []Effect
	var reports []string
	orders := map[rank.Verb][]SendOrder{}
	var verbs []rank.Verb
	for _, effect := range effects {
		switch e := effect.(type) {
		case FetchReport:
			reports = append(reports, e.Runner)
		case SendOrder:
			if e.Direct || e.Order.Verb == rank.VerbDisarm {
				// Orders to disarm name the version of each rank.
				rest = append(rest, effect)
				continue
			}
			if orders[e.Order.Verb] == nil {
				verbs = append(verbs, e.Order.Verb)
			}
			orders[e.Order.Verb] = append(orders[e.Order.Verb], e)
		default:
			rest = append(rest, effect)
		}
	}
	if len(reports) >= minBatch {
		rest = append(rest, FetchReports{Runners: reports})
	} else {
		for _, r := range reports {
			rest = append(rest, FetchReport{Runner: r})
		}
	}
	for _, verb := range verbs {
		if len(orders[verb]) >= minBatch {
			rest = append(rest, SendOrders{Orders: orders[verb]})
			continue
		}
		for _, o := range orders[verb] {
			rest = append(rest, o)
		}
	}
	return rest
}
