package messenger

import (
	"github.com/kingcupstile/kingcupstile/protocol/messenger/wire"
	"github.com/kingcupstile/kingcupstile/state/rank"
)

// EncodeReport returns the message for a rank's report.
func EncodeReport(r rank.Report) *wire.RankReport {
	return &wire.RankReport{
		Group: r.Group, Epoch: r.Epoch, Rank: int32(r.Rank), Size: int32(r.Size), Open: r.GroupOpen, Step: r.Step, Map: r.MapVersion,
		Prepared: r.PreparedVersion, Armed: r.ArmedVersion, ArmedStep: r.ArmedStep, Held: r.HeldStep, Orders: r.OrderCount, Pace: r.Slowdown,
		Active: int32(r.ActiveRequests), Queued: int32(r.QueuedRequests),
		Lagged: r.IsLagged,
	}
}

// DecodeReport returns the rank's report in a message.
func DecodeReport(m *wire.RankReport) rank.Report {
	return rank.Report{
		Group: m.GetGroup(), Epoch: m.GetEpoch(), Rank: int(m.GetRank()), Size: int(m.GetSize()), GroupOpen: m.GetOpen(),
		Step: m.GetStep(), MapVersion: m.GetMap(), PreparedVersion: m.GetPrepared(), ArmedVersion: m.GetArmed(), ArmedStep: m.GetArmedStep(),
		HeldStep: m.GetHeld(), OrderCount: m.GetOrders(), Slowdown: m.GetPace(), ActiveRequests: int(m.GetActive()),
		QueuedRequests: int(m.GetQueued()), IsLagged: m.GetLagged(),
	}
}

// EncodeOrder returns the message for an order to a rank, with the layout whole and not as changes.
func EncodeOrder(o rank.Order) *wire.RankOrder {
	m := &wire.RankOrder{Verb: string(o.Verb), Epoch: o.Epoch, Orders: o.ExpectedOrderCount, Version: o.Version, Step: o.Step}
	for _, set := range o.Layout {
		m.Sets = append(m.Sets, &wire.RankSet{Ranks: EncodeExperts(set)})
	}
	return m
}

// EncodeChangedOrder returns the message for an order whose layout is sent as changes of its base, and false if the order
// has no base.
func EncodeChangedOrder(o rank.Order) (*wire.RankOrder, bool) {
	if o.Base == nil || len(o.Layout) == 0 {
		return nil, false
	}
	m := &wire.RankOrder{
		Verb: string(o.Verb), Epoch: o.Epoch, Orders: o.ExpectedOrderCount, Version: o.Version, Base: o.BaseVersion,
		Changes: EncodeLayoutChanges(o.Layout.Changes(o.Base), len(o.Base[0])), Sum: o.Layout.Sum(),
		SetCount: uint32(len(o.Base)), ExpertCount: uint32(o.Base.Experts()), RankCount: uint32(len(o.Base[0])),
	}
	return m, len(m.Changes) > 0
}

// DecodeOrder returns the order to a rank in a message. It ignores changes of a layout, for which DecodeLayoutChanges
// is the decoder.
func DecodeOrder(m *wire.RankOrder) rank.Order {
	o := rank.Order{
		Verb: rank.Verb(m.GetVerb()), Epoch: m.GetEpoch(), ExpectedOrderCount: m.GetOrders(), Version: m.GetVersion(), Step: m.GetStep(),
	}
	for _, set := range m.GetSets() {
		o.Layout = append(o.Layout, DecodeExperts(set.GetRanks()))
	}
	return o
}

// EncodeLayoutChanges returns two numbers for each change of a layout: the set times the number of ranks plus the rank,
// then the expert shifted left by one bit, with the lowest bit set if the rank drops the expert.
func EncodeLayoutChanges(changes []rank.Change, ranks int) []uint32 {
	list := make([]uint32, 0, 2*len(changes))
	for _, c := range changes {
		expert := uint32(c.Expert) << 1
		if c.Dropped {
			expert |= 1
		}
		list = append(list, uint32(c.Set*ranks+c.Rank), expert)
	}
	return list
}

// DecodeLayoutChanges returns the changes of a layout that EncodeLayoutChanges encoded for the same number of ranks.
func DecodeLayoutChanges(list []uint32, ranks int) []rank.Change {
	changes := make([]rank.Change, 0, len(list)/2)
	for i := 0; i+1 < len(list); i += 2 {
		place, expert := int(list[i]), list[i+1]
		changes = append(changes, rank.Change{Set: place / ranks, Rank: place % ranks, Expert: int(expert >> 1), Dropped: expert&1 == 1})
	}
	return changes
}

// EncodeHoldings returns the message for the experts that a rank holds.
func EncodeHoldings(h rank.Holdings) *wire.RankHoldings {
	return &wire.RankHoldings{
		Map: h.MapVersion, InUse: EncodeExperts(h.InUse), Prepared: h.PreparedVersion, Copied: EncodeExperts(h.Copied),
	}
}

// DecodeHoldings returns the experts that a rank holds according to a message.
func DecodeHoldings(m *wire.RankHoldings) rank.Holdings {
	return rank.Holdings{
		MapVersion: m.GetMap(), InUse: DecodeExperts(m.GetInUse()), PreparedVersion: m.GetPrepared(), Copied: DecodeExperts(m.GetCopied()),
	}
}

// EncodeExperts returns a message for each list of expert numbers.
func EncodeExperts(lists [][]int) []*wire.RankExperts {
	messages := make([]*wire.RankExperts, len(lists))
	for i, list := range lists {
		messages[i] = &wire.RankExperts{Experts: make([]uint32, len(list))}
		for at, e := range list {
			messages[i].Experts[at] = uint32(e)
		}
	}
	return messages
}

// DecodeExperts returns the lists of expert numbers in messages.
func DecodeExperts(messages []*wire.RankExperts) [][]int {
	lists := make([][]int, len(messages))
	for i, m := range messages {
		lists[i] = make([]int, len(m.GetExperts()))
		for at, e := range m.GetExperts() {
			lists[i][at] = int(e)
		}
	}
	return lists
}
