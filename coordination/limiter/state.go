package limiter

import (
	"slices"
	"time"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
)

const (
	// renewDivisor sets when a share is renewed: 1/renewDivisor of its TTL after it was received if the TTL is busyTTL or
	// less, and 1/renewDivisor of it before its end if it is longer.
	renewDivisor = 3
	// renewUtilisation is the ratio of demand to a share's rate from which the share is renewed at the next tick.
	renewUtilisation = 0.9
	// maxCallsPerTick is how many calls to homes an entry makes in one tick, to stay within its budget for control
	// traffic.
	maxCallsPerTick = 4
	// fallbackTTL is how long an entry uses an even part of a limit when no home answers, or refuses requests while it
	// knows of no entries.
	fallbackTTL = time.Second
)

// heldShare is a share that this entry holds or waits for.
type heldShare struct {
	// rate is what this entry may pass, in requests per second.
	rate    float64
	ttl     time.Duration
	expires time.Time
	// pending says that a request for the share or for its renewal is in flight.
	pending bool
	// waiters are the Done channels of the requests that wait for the share.
	waiters []chan<- struct{}
}

// renewLead returns how long before its end a share is due for renewal.
func (h heldShare) renewLead() time.Duration {
	if h.ttl <= busyTTL {
		return h.ttl - h.ttl/renewDivisor
	}
	return h.ttl / renewDivisor
}

// State is the shares that one entry holds, and the leases that it granted as a home.
type State struct {
	self        string
	memberships []membership
	held        *iradix.Tree[heldShare]
	leased      leaseTable
}

// New returns the state of the named entry, which knows of no entries, holds no shares and has granted no leases.
func New(self string) State {
	return State{
		self:        self,
		memberships: []membership{{}},
		held:        iradix.New[heldShare](),
		leased:      newLeaseTable(),
	}
}

// Rate returns the rate in requests per second that this entry may pass for a key, and false if it holds no valid
// share.
func (s State) Rate(k Key, now time.Time) (float64, bool) {
	h, found := s.held.Get(k.bytes())
	if !found || !h.expires.After(now) {
		return 0, false
	}
	return h.rate, true
}

// Step returns the state after an event, and the effects to carry out.
func Step(s State, event Event) (State, []Effect) {
	switch e := event.(type) {
	case EntriesUpdated:
		return s.withEntries(e), nil
	case ShareRequested:
		return s.requestShare(e)
	case Tick:
		return s.tick(e)
	case SharesReceived:
		return s.storeShares(e.Shares, e.At)
	case HomesUnreachable:
		return s.fallBack(e)
	case DemandsReceived:
		s, shares := s.leaseShares(e.Entry, e.Demands, e.At)
		return s, []Effect{SendShares{Shares: shares, Reply: e.Reply}}
	}
	return s, nil
}

func (s State) membership() membership { return s.memberships[len(s.memberships)-1] }

// withEntries adds a membership if the entries have changed, and keeps earlier ones while shares leased under them may
// be in use.
func (s State) withEntries(e EntriesUpdated) State {
	names := slices.Sorted(slices.Values(e.Names))
	if slices.Equal(names, s.membership().names) {
		return s
	}
	members := make([]membership, 0, len(s.memberships)+1)
	for i, m := range s.memberships {
		if i == len(s.memberships)-1 || e.At.Sub(s.memberships[i+1].since) < idleTTL {
			members = append(members, m)
		}
	}
	members = append(members, membership{names: names, since: e.At})
	s.memberships = members
	return s
}

// isRecentHome reports whether, within idleTTL, another entry was the key's home or no entries were known: shares that
// this entry does not know of may be in use then.
func (s State) isRecentHome(k Key, now time.Time) bool {
	for i, m := range s.memberships[:len(s.memberships)-1] {
		recent := now.Sub(s.memberships[i+1].since) < idleTTL
		if recent && (len(m.names) == 0 || m.homes(k)[0] != s.self) {
			return true
		}
	}
	return false
}

// leaseShares grants leases for an entry's demands.
func (s State) leaseShares(entry string, demands []Demand, now time.Time) (State, []Share) {
	shares := make([]Share, 0, len(demands))
	for _, d := range demands {
		var share Share
		s.leased, share = s.leased.withLease(entry, d, len(s.membership().names), s.isRecentHome(d.Key, now), now)
		shares = append(shares, share)
	}
	return s, shares
}

// requestShare asks for a share that a request waits for, unless one is held or asked for already.
func (s State) requestShare(e ShareRequested) (State, []Effect) {
	if _, has := s.Rate(e.Demand.Key, e.At); has {
		return s, []Effect{Release{Done: []chan<- struct{}{e.Done}}}
	}
	h, _ := s.held.Get(e.Demand.Key.bytes())
	pending := h.pending
	h.pending, h.waiters = true, append(slices.Clip(h.waiters), e.Done)
	s.held, _, _ = s.held.Insert(e.Demand.Key.bytes(), h)
	if pending {
		return s, nil
	}
	return s.requestShares([]Demand{e.Demand}, e.At)
}

// tick renews the shares in use that expire soon or are too small for the demand, and drops expired shares and leases.
func (s State) tick(e Tick) (State, []Effect) {
	s.leased = s.leased.withoutExpired(e.At)
	var due []Demand
	for _, d := range e.Demands {
		h, found := s.held.Get(d.Key.bytes())
		isDue := h.expires.Sub(e.At) < h.renewLead()
		if !found || h.pending || (!isDue && d.Rate < renewUtilisation*h.rate) {
			continue
		}
		if h.expires.After(e.At) {
			d.Held = h.rate
		}
		h.pending = true
		s.held, _, _ = s.held.Insert(d.Key.bytes(), h)
		due = append(due, d)
	}
	s = s.withoutExpired(e.At)
	return s.requestShares(due, e.At)
}

func (s State) withoutExpired(now time.Time) State {
	var expired [][]byte
	s.held.Root().Walk(func(key []byte, h heldShare) bool {
		if !h.pending && !h.expires.After(now) {
			expired = append(expired, key)
		}
		return false
	})
	for _, key := range expired {
		s.held, _, _ = s.held.Delete(key)
	}
	return s
}

// requestShares sends demands to their homes, in one call for each pair of homes; demands that need more than
// maxCallsPerTick calls are left for the next tick. This entry grants leases itself where it is the home.
func (s State) requestShares(demands []Demand, now time.Time) (State, []Effect) {
	var effects []Effect
	calls := map[string]int{}
	for _, d := range demands {
		homes := s.membership().homes(d.Key)
		if len(homes) == 0 {
			next, released := s.storeShares([]Share{{Key: d.Key, TTL: fallbackTTL}}, now)
			s, effects = next, append(effects, released...)
			continue
		}
		if homes[0] == s.self {
			next, shares := s.leaseShares(s.self, []Demand{d}, now)
			var released []Effect
			s, released = next.storeShares(shares, now)
			effects = append(effects, released...)
			continue
		}
		pair := homes[0] + "\x00" + homes[len(homes)-1]
		if i, found := calls[pair]; found {
			call := effects[i].(RequestShares)
			call.Demands = append(call.Demands, d)
			effects[i] = call
			continue
		}
		if len(calls) == maxCallsPerTick {
			s = s.withPending(d.Key, false)
			continue
		}
		calls[pair] = len(effects)
		effects = append(effects, RequestShares{Homes: homes, Demands: []Demand{d}})
	}
	return s, effects
}

func (s State) withPending(k Key, pending bool) State {
	h, _ := s.held.Get(k.bytes())
	h.pending = pending
	s.held, _, _ = s.held.Insert(k.bytes(), h)
	return s
}

// storeShares replaces shares by those received, and releases the requests that waited for them.
func (s State) storeShares(shares []Share, now time.Time) (State, []Effect) {
	var effects []Effect
	for _, share := range shares {
		h, _ := s.held.Get(share.Key.bytes())
		if len(h.waiters) > 0 {
			effects = append(effects, Release{Done: h.waiters})
		}
		h = heldShare{rate: share.Rate, ttl: share.TTL, expires: now.Add(share.TTL)}
		s.held, _, _ = s.held.Insert(share.Key.bytes(), h)
	}
	return s, effects
}

// fallBack keeps the shares that are still valid and replaces the others by an even part of the limit; entries that all
// use the even part stay within the limit together.
func (s State) fallBack(e HomesUnreachable) (State, []Effect) {
	var effects []Effect
	for _, d := range e.Demands {
		h, _ := s.held.Get(d.Key.bytes())
		if !h.expires.After(e.At) {
			share := Share{Key: d.Key, Rate: d.Limit / float64(max(1, len(s.membership().names))), TTL: fallbackTTL}
			var released []Effect
			s, released = s.storeShares([]Share{share}, e.At)
			effects = append(effects, released...)
			continue
		}
		s = s.withPending(d.Key, false)
	}
	return s, effects
}
