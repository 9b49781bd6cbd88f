package platform

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/state/fault"
)

// Conditions injects outages, delays, lost writes and rate limits; it may be changed while a store serves.
type Conditions struct {
	mu            sync.Mutex
	random        *rand.Rand
	down          bool
	delay         time.Duration
	lossRatio     float64
	writeLimit    int
	readLimit     int
	windowStart   time.Time
	callsInWindow map[bool]int
}

// NewConditions returns conditions without faults; seed determines which writes are lost.
func NewConditions(seed uint64) *Conditions {
	return &Conditions{random: rand.New(rand.NewPCG(seed, seed)), callsInWindow: map[bool]int{}}
}

// SetDown sets whether every call fails with an Error of KindUnavailable.
func (c *Conditions) SetDown(down bool) { c.set(func() { c.down = down }) }

// SetDelay sets how long each call is delayed.
func (c *Conditions) SetDelay(d time.Duration) { c.set(func() { c.delay = d }) }

// SetLossRatio sets the share of writes, from 0 to 1, that fail with an Error of KindUncertain; about half of these
// have no effect, the others are stored and only their reply is lost.
func (c *Conditions) SetLossRatio(ratio float64) { c.set(func() { c.lossRatio = ratio }) }

// SetRateLimits sets the limits of writes and reads per second, 0 for none; calls above them fail with an Error of
// KindLimited. Every call but a put is a read.
func (c *Conditions) SetRateLimits(writes, reads int) {
	c.set(func() { c.writeLimit, c.readLimit = writes, reads })
}

func (c *Conditions) set(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
}

// Fault implements FaultFunc: it decides a call's fault and then sleeps for the delay that is set.
func (c *Conditions) Fault(call Call, _ string) (before, after error) {
	c.mu.Lock()
	delay := c.delay
	before, after = c.decide(call, time.Now())
	c.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	return before, after
}

// decide returns a call's fault and counts the call in the current one-second window; mu is held.
func (c *Conditions) decide(call Call, now time.Time) (before, after error) {
	write := call == CallPut
	if now.Sub(c.windowStart) >= time.Second {
		c.windowStart, c.callsInWindow = now, map[bool]int{}
	}
	c.callsInWindow[write]++
	limit := c.readLimit
	if write {
		limit = c.writeLimit
	}
	switch {
	case c.down:
		return fault.New(string(call), kingcupstile.KindUnavailable, nil), nil
	case limit > 0 && c.callsInWindow[write] > limit:
		return fault.New(string(call), kingcupstile.KindLimited, nil), nil
	case write && c.random.Float64() < c.lossRatio:
		lost := fault.New(string(call), kingcupstile.KindUncertain, nil)
		if c.random.IntN(2) == 0 {
			return lost, nil
		}
		return nil, lost
	}
	return nil, nil
}
