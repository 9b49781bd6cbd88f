package limiter

import (
	"math"
	"slices"
	"time"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
)

const (
	// busyTTL, quietTTL and idleTTL are how long a share is leased: the farther the account's demand is below its limit,
	// the longer.
	busyTTL  = 3 * time.Second
	quietTTL = 10 * time.Second
	idleTTL  = 30 * time.Second
	// quietUtilisation and idleUtilisation are the largest ratios of total demand to limit at which a share is leased for
	// quietTTL and idleTTL.
	quietUtilisation = 0.5
	idleUtilisation  = 0.1
	// headroomFactor and reserveFraction let demand grow between two renewals: a factor on the demand, and a fraction of
	// the limit that is added.
	headroomFactor  = 1.5
	reserveFraction = 0.05
	// firstShareFraction is the fraction of the unleased rate that an entry gets at least when it has no lease yet, since
	// its demand is not known then.
	firstShareFraction = 0.5
)

// lease is the share of a limit that one entry may use.
type lease struct {
	entry string
	// demand is the rate at which callers send through the entry, and rate what it may pass, in requests per second.
	demand  float64
	rate    float64
	expires time.Time
}

// leaseTable holds the leases that a home granted, by service and account.
type leaseTable struct{ leases *iradix.Tree[[]lease] }

func newLeaseTable() leaseTable { return leaseTable{leases: iradix.New[[]lease]()} }

// withLease returns the table with a lease for an entry's demand, new or renewed, and the share leased, which is at
// most what the unexpired leases of other entries leave of the limit. A new home does not know the leases that other
// homes granted: it leases the larger of what the entry holds already and an even part, which leaves one more for a new
// entry.
func (t leaseTable) withLease(entry string, d Demand, entries int, isNewHome bool, now time.Time) (leaseTable, Share) {
	current, _ := t.leases.Get(d.Key.bytes())
	leases := make([]lease, 0, len(current)+1)
	totalDemand, leased, isFirst := d.Rate, 0.0, true
	for _, l := range current {
		switch {
		case l.entry == entry:
			isFirst = false
		case l.expires.After(now):
			leases = append(leases, l)
			totalDemand += l.demand
			leased += l.rate
		}
	}
	free := math.Max(0, d.Limit-leased)
	rate, ttl := shareRate(d, totalDemand), ttlFor(totalDemand/d.Limit)
	switch {
	case isNewHome:
		rate, ttl = math.Max(d.Held, d.Limit/float64(entries+1)), busyTTL
	case isFirst:
		rate, ttl = math.Max(rate, free*firstShareFraction), busyTTL
	}
	rate = math.Min(rate, free)
	leases = append(leases, lease{entry: entry, demand: d.Rate, rate: rate, expires: now.Add(ttl)})
	t.leases, _, _ = t.leases.Insert(d.Key.bytes(), leases)
	return t, Share{Key: d.Key, Rate: rate, TTL: ttl}
}

// shareRate returns the rate for a demand, given the total demand of all entries: the part of the limit in proportion
// to the demand if the total exceeds the limit, else the demand with headroom, at most that part.
func shareRate(d Demand, totalDemand float64) float64 {
	proportional := d.Limit * d.Rate / math.Max(totalDemand, math.SmallestNonzeroFloat64)
	if totalDemand > d.Limit {
		return proportional
	}
	return math.Min(d.Rate*headroomFactor+d.Limit*reserveFraction, proportional)
}

// ttlFor returns how long a share is leased at a ratio of total demand to limit.
func ttlFor(utilisation float64) time.Duration {
	switch {
	case utilisation <= idleUtilisation:
		return idleTTL
	case utilisation <= quietUtilisation:
		return quietTTL
	}
	return busyTTL
}

// withoutExpired returns the table without the keys of which every lease has expired.
func (t leaseTable) withoutExpired(now time.Time) leaseTable {
	var expired [][]byte
	t.leases.Root().Walk(func(key []byte, leases []lease) bool {
		if !slices.ContainsFunc(leases, func(l lease) bool { return l.expires.After(now) }) {
			expired = append(expired, key)
		}
		return false
	})
	for _, key := range expired {
		t.leases, _, _ = t.leases.Delete(key)
	}
	return t
}
