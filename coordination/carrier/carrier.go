package carrier

import (
	"context"
	"sync"
	"time"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/coordination/assembler"
	"github.com/kingcupstile/kingcupstile/coordination/pauser"
	"github.com/kingcupstile/kingcupstile/coordination/publisher"
	"github.com/kingcupstile/kingcupstile/coordination/spreader"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/member"
	"github.com/kingcupstile/kingcupstile/state/object"
	"github.com/kingcupstile/kingcupstile/state/roster"
)

// Intervals, timeouts and backoff of calls; LongPollDuration is how long a watch of the platform waits for a change.
const (
	TickInterval     = 250 * time.Millisecond
	LongPollDuration = 2 * time.Second
	heartbeatTimeout = time.Second
	fetchTimeout     = 3 * time.Second
	readTimeout      = 3 * time.Second
	watchTimeout     = LongPollDuration + time.Second
	minBackoff       = 500 * time.Millisecond
	maxBackoff       = 5 * time.Second
)

// Platform reads the configuration and the VM list; its watches end after LongPollDuration without a change.
type Platform interface {
	kingcupstile.Store
	kingcupstile.VMLister
}

// Loop runs the control goroutine that owns the spreader's state.
type Loop interface {
	// Send queues an event.
	Send(ctx context.Context, event spreader.Event) error
	// Snapshot returns the state after the last event that was applied.
	Snapshot() spreader.State
}

// Carrier carries out the effects of one entry's spreader.
type Carrier struct {
	loop          Loop
	platform      Platform
	peers         kingcupstile.Peers
	codec         kingcupstile.CatalogCodec
	mu            sync.Mutex // guards cancelWatches
	cancelWatches context.CancelFunc
}

// New returns a carrier that sends its events to loop.
func New(loop Loop, platform Platform, peers kingcupstile.Peers, codec kingcupstile.CatalogCodec) *Carrier {
	return &Carrier{loop: loop, platform: platform, peers: peers, codec: codec}
}

// Run sends the spreader a tick at once and then every TickInterval until ctx ends.
func (c *Carrier) Run(ctx context.Context) {
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for {
		_ = c.loop.Send(ctx, spreader.Tick{At: time.Now()})
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Handle starts an effect and returns without waiting for its outcome.
func (c *Carrier) Handle(ctx context.Context, effect spreader.Effect) {
	switch e := effect.(type) {
	case spreader.SendHeartbeat:
		go c.exchange(ctx, e)
	case spreader.FetchConfiguration:
		go c.fetch(ctx, e)
	case spreader.FetchRoster:
		go c.fetchRoster(ctx, e)
	case spreader.ReadPlatform:
		go c.readPlatform(ctx)
	case spreader.WatchPlatform:
		c.setWatching(ctx, e.On)
	}
}

func (c *Carrier) exchange(ctx context.Context, e spreader.SendHeartbeat) {
	call, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	b, err := c.peers.Exchange(call, e.Address, e.Beat)
	if err != nil {
		_ = c.loop.Send(ctx, spreader.HeartbeatFailed{Name: e.Name, At: time.Now()})
		return
	}
	_ = c.loop.Send(ctx, spreader.HeartbeatReceived{Beat: b, At: time.Now()})
}

func (c *Carrier) fetch(ctx context.Context, e spreader.FetchConfiguration) {
	call, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	a, err := c.fetchFrom(call, e.Address)
	if err != nil {
		_ = c.loop.Send(ctx, spreader.FetchFailed{Source: e.Name, At: time.Now()})
		return
	}
	_ = c.loop.Send(ctx, spreader.ConfigurationReceived{Assembly: a, Source: e.Name, At: time.Now()})
}

func (c *Carrier) fetchFrom(ctx context.Context, address string) (assembler.Assembly, error) {
	head, err := c.peers.Head(ctx, address)
	if err != nil {
		return assembler.Assembly{}, err
	}
	parts := func(ctx context.Context, names []string) (map[string][]byte, error) {
		return c.peers.Parts(ctx, address, names)
	}
	return assembler.Join(ctx, c.codec, head, c.loop.Snapshot().Latest(), parts)
}

func (c *Carrier) fetchRoster(ctx context.Context, e spreader.FetchRoster) {
	call, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	change, err := c.peers.Roster(call, e.Address, e.After)
	if err != nil {
		return
	}
	if r, ok := c.loop.Snapshot().Roster().WithChange(change); ok {
		_ = c.loop.Send(ctx, spreader.RosterReceived{Roster: r, At: time.Now()})
	}
}

// readPlatform reads the configuration and the VM list from the platform once.
func (c *Carrier) readPlatform(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	requestedAt := time.Now()
	o, err := c.platform.Get(call, object.KindConfig, publisher.Head)
	switch {
	case fault.KindOf[kingcupstile.Kind](err) == kingcupstile.KindMissing:
		_ = c.loop.Send(ctx, spreader.VersionConfirmed{RequestedAt: requestedAt})
	case err == nil:
		_, _ = c.load(ctx, o, requestedAt)
	}
	if r, err := c.readRoster(ctx); err == nil {
		_ = c.loop.Send(ctx, spreader.RosterReceived{Roster: r, At: time.Now()})
	}
}

// load completes the configuration of a head that was read from the platform, passes it to the spreader together with
// the confirmation of its version, and returns that version.
func (c *Carrier) load(ctx context.Context, o object.Object, requestedAt time.Time) (uint64, error) {
	call, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	a, err := assembler.Join(call, c.codec, o.Value(), c.loop.Snapshot().Latest(), publisher.PartFetcher(c.platform))
	if err != nil {
		return 0, err
	}
	if err := c.loop.Send(ctx, spreader.ConfigurationReceived{Assembly: a, At: time.Now()}); err != nil {
		return 0, err
	}
	return a.Version(), c.loop.Send(ctx, spreader.VersionConfirmed{Version: a.Version(), RequestedAt: requestedAt})
}

// setWatching starts or ends the watches of the platform, after ending those that run; only the control goroutine
// calls it.
func (c *Carrier) setWatching(ctx context.Context, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelWatches != nil {
		c.cancelWatches()
		c.cancelWatches = nil
	}
	if !on {
		return
	}
	ctx, c.cancelWatches = context.WithCancel(ctx)
	go c.watchHead(ctx)
	go c.watchRoster(ctx)
}

// watchHead watches the head of the configuration. A watch that times out on the platform without a change confirms
// that there was no newer version at the time of its request.
func (c *Carrier) watchHead(ctx context.Context) {
	var objectVersion, version uint64
	backoff := minBackoff
	for ctx.Err() == nil {
		requestedAt := time.Now()
		o, err := c.watch(ctx, objectVersion)
		switch {
		case err == nil:
			if version, err = c.load(ctx, o, requestedAt); err == nil {
				objectVersion = o.Version()
			}
		case fault.KindOf[kingcupstile.Kind](err) == kingcupstile.KindMissing:
			err = c.loop.Send(ctx, spreader.VersionConfirmed{Version: version, RequestedAt: requestedAt})
		}
		if backoff = nextBackoff(backoff, err); err != nil && !pauser.Jitter(ctx, backoff) {
			return
		}
	}
}

func (c *Carrier) watch(ctx context.Context, after uint64) (object.Object, error) {
	call, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	return c.platform.Watch(call, object.KindConfig, publisher.Head, after)
}

func (c *Carrier) watchRoster(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		r, err := c.readRoster(ctx)
		switch {
		case err == nil:
			_ = c.loop.Send(ctx, spreader.RosterReceived{Roster: r, At: time.Now()})
		case fault.KindOf[kingcupstile.Kind](err) == kingcupstile.KindMissing:
			err = nil
		}
		if backoff = nextBackoff(backoff, err); err != nil && !pauser.Jitter(ctx, backoff) {
			return
		}
	}
}

func (c *Carrier) readRoster(ctx context.Context) (roster.Roster, error) {
	call, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	return c.platform.VMs(call, c.loop.Snapshot().Roster().Version())
}

// nextBackoff returns the pause after a call: doubled up to maxBackoff after each failure, so that a platform that
// recovers is not flooded, and back to minBackoff after a success.
func nextBackoff(backoff time.Duration, err error) time.Duration {
	if err == nil {
		return minBackoff
	}
	return min(2*backoff, maxBackoff)
}

// Exchange passes another entry's heartbeat to the spreader and returns this entry's own, which acknowledges the
// versions in the received one; it returns an error if the received heartbeat cannot be queued.
func (c *Carrier) Exchange(ctx context.Context, b member.Heartbeat) (member.Heartbeat, error) {
	now := time.Now()
	if err := c.loop.Send(ctx, spreader.HeartbeatReceived{Beat: b, At: now}); err != nil {
		return member.Heartbeat{}, err
	}
	return c.loop.Snapshot().Beat(now).WithHighestVersion(max(b.HighestVersion(), b.HeldVersion())), nil
}

// Head returns the encoded head of the latest complete configuration that this entry has, empty if it has none.
func (c *Carrier) Head() []byte { return c.loop.Snapshot().Latest().Head() }

// Parts returns the encoded parts by name, without those that the latest complete configuration here does not contain.
func (c *Carrier) Parts(names []string) map[string][]byte {
	holding, values := c.loop.Snapshot().Latest(), make(map[string][]byte, len(names))
	for _, name := range names {
		if value, ok := holding.Part(name); ok {
			values[name] = value
		}
	}
	return values
}

// Roster returns what changed in this entry's VM list after a version.
func (c *Carrier) Roster(after uint64) roster.Change { return c.loop.Snapshot().RosterSince(after) }
