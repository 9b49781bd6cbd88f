package capacity

import (
	"context"
	"time"

	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/transport/exchanger"
)

// inForceLimit is how long a change may take to be in force at every daemon before the measurement fails.
const inForceLimit = 30 * time.Second

// daemons measures platform calls, an entry's control work and the time for a configuration change to be in force
// everywhere, over the number of entries.
func daemons(ctx context.Context, b binary) ([]series, error) {
	reads := series{id: idPlatformCalls, name: "platform, calls at rest", unit: "calls/s", over: "entries"}
	waiting := series{id: idPlatformWaiting, name: "platform, watches that wait", unit: "watches", over: "entries"}
	starts := series{id: idStartCalls, name: "platform, calls to start the entries", unit: "calls", over: "entries"}
	processor := series{id: idEntryControlByEntries, name: "entry, control processor time", unit: "% of a core", over: "entries"}
	traffic := series{id: idEntryPeerBytes, name: "entry, control traffic", unit: "bytes/s", over: "entries"}
	inForce := series{id: idInForce, name: "time for a change to be in force at all", unit: "ms", over: "entries"}
	for _, n := range []int{3, 9, 27, 54} {
		t, err := newTestbed(ctx, b)
		if err != nil {
			return nil, err
		}
		cost, err := t.measureControl(ctx, n)
		t.close()
		if err != nil {
			return nil, err
		}
		size := float64(n)
		reads.points = append(reads.points, point{size, cost.reads})
		waiting.points = append(waiting.points, point{size, cost.waiting})
		starts.points = append(starts.points, point{size, cost.starts})
		processor.points = append(processor.points, point{size, cost.processor})
		traffic.points = append(traffic.points, point{size, cost.bytes})
		inForce.points = append(inForce.points, point{size, cost.inForce})
	}
	return []series{reads, waiting, starts, processor, traffic, inForce}, nil
}

// controlCost is the measured cost of a number of entries: reads is platform calls a second without load, starts is
// platform calls to start them all, and waiting is a number of watches. For each entry, processor is in % of a core and
// bytes a second; inForce is in milliseconds.
type controlCost struct{ reads, waiting, starts, processor, bytes, inForce float64 }

// measureControl starts n entries, measures them without load and times the publication of a change.
func (t *testbed) measureControl(ctx context.Context, n int) (controlCost, error) {
	if err := t.publish(ctx, 1); err != nil {
		return controlCost{}, err
	}
	before := t.platformCalls()
	entries := make([]*process, n)
	for i := range entries {
		var err error
		if entries[i], err = t.daemon(ctx, map[string]string{"role": "entry", "name": numbered("entry", i)}); err != nil {
			return controlCost{}, err
		}
	}
	if _, err := t.awaitConfiguration(ctx, entries); err != nil {
		return controlCost{}, err
	}
	cost := controlCost{starts: float64(t.platformCalls() - before)}
	time.Sleep(observationTime / 2)
	calls, used, bytes := t.platformCalls(), totalProcessorSeconds(entries), t.carriedBytes()
	time.Sleep(observationTime)
	perSecond := 1 / observationTime.Seconds()
	cost.reads = perSecond * float64(t.platformCalls()-calls)
	cost.waiting = float64(t.store.OpenWatches())
	cost.processor = 100 * perSecond * (totalProcessorSeconds(entries) - used) / float64(n)
	cost.bytes = perSecond * (t.carriedBytes() - bytes) / float64(n)
	start := time.Now()
	if err := t.publish(ctx, 2); err != nil {
		return controlCost{}, err
	}
	end, err := t.awaitConfiguration(ctx, entries)
	cost.inForce = float64(end.Sub(start).Milliseconds())
	return cost, err
}

// platformCalls returns the number of calls that the platform stand-in has answered.
func (t *testbed) platformCalls() int {
	n := 0
	for _, count := range t.store.Counts() {
		n += count
	}
	return n
}

// awaitConfiguration waits until every entry has the current configuration in force, and returns the time at which that
// was seen. It returns an error of KindMeasure if an entry does not have it after inForceLimit.
func (t *testbed) awaitConfiguration(ctx context.Context, entries []*process) (time.Time, error) {
	current, err := t.publisher().Read(ctx)
	if err != nil {
		return time.Time{}, err
	}
	client := exchanger.New()
	defer client.Close()
	var lagging *process
	for deadline := time.Now().Add(inForceLimit); time.Now().Before(deadline); time.Sleep(pollInterval) {
		lagging = nil
		for _, p := range entries {
			status, err := client.Status(ctx, p.peers)
			if err != nil || status.Version < current.Version() {
				lagging = p
				break
			}
		}
		if lagging == nil {
			return time.Now(), nil
		}
	}
	return time.Time{}, fault.Newf("await configuration", KindMeasure,
		"%s did not have the current configuration in force within the limit", lagging.name)
}

// totalProcessorSeconds returns the processor time that daemons have used together.
func totalProcessorSeconds(entries []*process) float64 {
	sum := 0.0
	for _, p := range entries {
		sum += p.processorSeconds()
	}
	return sum
}
