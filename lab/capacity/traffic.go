package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kingcupstile/kingcupstile/standin/caller"
	"github.com/kingcupstile/kingcupstile/standin/engine"
)

// numbered returns a name with a number, such as entry-1.
func numbered(what string, i int) string { return fmt.Sprintf("%s-%d", what, i) }

const (
	trafficCallers        = 16
	trafficTokens         = 120_000
	entryTokenInterval    = 200 * time.Millisecond
	endpointTokenInterval = 50 * time.Millisecond
	// streamsPerEndpoint is well below the concurrency limit of 32 that an endpoint starts with.
	streamsPerEndpoint = 15
)

// deployment is an entry in front of endpoint processes, which share an engine stand-in; endpoint is the last of them.
type deployment struct {
	testbed  *testbed
	entry    *process
	endpoint *process
}

func newDeployment(ctx context.Context, b binary, interval time.Duration, endpoints int) (*deployment, error) {
	t, err := newTestbed(ctx, b)
	if err != nil {
		return nil, err
	}
	d := &deployment{testbed: t}
	address, err := t.serve(ctx, engine.New(engine.NewGroup(1), engine.LineInterval(interval)).Handler())
	if err != nil {
		return d, err
	}
	if d.entry, err = t.daemon(ctx, map[string]string{"role": "entry", "name": "entry-1"}); err != nil {
		return d, err
	}
	for i := range endpoints {
		settings := map[string]string{"role": "endpoint", "name": numbered("draft", i), "pool": service, "engine": address}
		if d.endpoint, err = t.daemon(ctx, settings); err != nil {
			return d, err
		}
	}
	if err := t.publish(ctx, 1); err != nil {
		return d, err
	}
	return d, t.awaitService(ctx, d.entry)
}

// streamDraft sends a request for a draft and reads its event stream; it calls onFirst, if not nil, at the first event.
func (d *deployment) streamDraft(ctx context.Context, lines int, onFirst func()) error {
	body, err := json.Marshal(engine.Draft{Slip: "slip", Lines: lines})
	if err != nil {
		return err
	}
	events := 0
	target := "http://" + d.entry.callers + "/" + service + "/v1/drafts"
	return caller.New(key).Stream(ctx, target, nil, body, func(caller.Event) bool {
		if events == 0 && onFirst != nil {
			onFirst()
		}
		events++
		return true
	})
}

// traffic measures processor time for each request over the tokens in its answer, one event a token.
func traffic(ctx context.Context, b binary) ([]series, error) {
	d, err := newDeployment(ctx, b, 0, 1)
	if d != nil {
		defer d.testbed.close()
	}
	if err != nil {
		return nil, err
	}
	entry := series{id: idEntryRequest, name: "entry, processor time of a request", unit: "µs", over: "tokens in its answer"}
	endpoint := series{id: idEndpointRequest, name: "endpoint process, processor time of a request", unit: "µs", over: "tokens in its answer"}
	for _, tokens := range []int{1, 30, 240, 960} {
		requests := max(trafficTokens/(tokens+30), trafficCallers)
		entryBefore, endpointBefore := d.entry.processorSeconds(), d.endpoint.processorSeconds()
		if err := d.load(ctx, requests, tokens); err != nil {
			return nil, err
		}
		micro := 1e6 / float64(requests)
		entry.points = append(entry.points, point{float64(tokens), (d.entry.processorSeconds() - entryBefore) * micro})
		endpoint.points = append(endpoint.points, point{float64(tokens), (d.endpoint.processorSeconds() - endpointBefore) * micro})
	}
	return []series{entry, endpoint}, nil
}

// load sends a number of requests from trafficCallers callers concurrently.
func (d *deployment) load(ctx context.Context, requests, tokens int) error {
	var next atomic.Int64
	failures := make([]error, trafficCallers)
	var group sync.WaitGroup
	for i := range trafficCallers {
		group.Go(func() {
			for next.Add(1) <= int64(requests) && failures[i] == nil {
				failures[i] = d.streamDraft(ctx, tokens, nil)
			}
		})
	}
	group.Wait()
	return errors.Join(failures...)
}

// streams measures an entry's memory over the number of open streams, and its processor time over tokens a second.
func streams(ctx context.Context, b binary) ([]series, error) {
	memory := series{id: idEntryStream, name: "entry, resident memory", unit: "bytes", over: "open streams"}
	heap := series{name: "entry, heap", unit: "bytes", over: "open streams"}
	token := series{id: idEntryToken, name: "entry, processor time", unit: "% of a core", over: "paced tokens a second"}
	for _, open := range []int{50, 400, 1200} {
		err := withStreams(ctx, b, entryTokenInterval, open, open/streamsPerEndpoint, func(d *deployment) {
			token.points = append(token.points, pacedUsage(d.entry, open, entryTokenInterval))
			memory.points = append(memory.points, point{float64(open), d.entry.residentBytes()})
			heap.points = append(heap.points, point{float64(open), d.entry.metric(ctx, "process_heap_bytes")})
		})
		if err != nil {
			return nil, err
		}
	}
	return []series{memory, heap, token}, nil
}

// endpointStreams measures the same for one endpoint process. The sizes are small since the concurrency limit that the
// endpoint learns is near the planned number of streams.
func endpointStreams(ctx context.Context, b binary) ([]series, error) {
	memory := series{id: idEndpointStream, name: "endpoint process, resident memory", unit: "bytes", over: "open streams"}
	token := series{id: idEndpointToken, name: "endpoint process, processor time", unit: "% of a core", over: "paced tokens a second"}
	for _, open := range []int{4, 12, 28} {
		err := withStreams(ctx, b, endpointTokenInterval, open, 1, func(d *deployment) {
			token.points = append(token.points, pacedUsage(d.endpoint, open, endpointTokenInterval))
			memory.points = append(memory.points, point{float64(open), d.endpoint.residentBytes()})
		})
		if err != nil {
			return nil, err
		}
	}
	return []series{memory, token}, nil
}

// pacedUsage measures a daemon's processor time in % of a core over the tokens a second of the open streams, each of
// which gets one token an interval.
func pacedUsage(daemon *process, open int, interval time.Duration) point {
	before := daemon.processorSeconds()
	time.Sleep(observationTime / 2)
	return point{float64(open) / interval.Seconds(), 100 * (daemon.processorSeconds() - before) / (observationTime / 2).Seconds()}
}

// withStreams starts a deployment and calls measure while streams are open through it.
func withStreams(ctx context.Context, b binary, interval time.Duration, open, endpoints int, measure func(*deployment)) error {
	d, err := newDeployment(ctx, b, interval, endpoints)
	if d != nil {
		defer d.testbed.close()
	}
	if err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	return d.holdStreams(ctx, open, func() { measure(d) })
}

// holdStreams opens streams, calls measure once each has started or failed, cancels them and returns the first failure.
func (d *deployment) holdStreams(ctx context.Context, open int, measure func()) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var started, group sync.WaitGroup
	failed := make(chan error, open)
	started.Add(open)
	for range open {
		group.Go(func() {
			once := sync.OnceFunc(started.Done)
			defer once()
			if err := d.streamDraft(ctx, 10_000, once); err != nil && ctx.Err() == nil {
				failed <- err
			}
		})
	}
	started.Wait()
	time.Sleep(2 * time.Second)
	measure()
	cancel()
	group.Wait()
	select {
	case err := <-failed:
		return err
	default:
		return nil
	}
}
