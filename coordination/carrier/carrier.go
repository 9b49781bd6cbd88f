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

// The times that calls and pauses take.
const (
	TickEvery    = 250 * time.Millisecond
	WatchWait    = 2 * time.Second
	beatTimeout  = time.Second
	fetchTimeout = 3 * time.Second
	askTimeout   = 3 * time.Second
	watchTimeout = WatchWait + time.Second
	minPause     = 500 * time.Millisecond
	maxPause     = 5 * time.Second
)

// Platform is what an entry reads from the platform; its watches end after WatchWait.
type Platform interface {
	kingcupstile.Store
	kingcupstile.VMLister
}

// Loop owns the spreader's state.
type Loop interface {
	// Send queues an event.
	Send(ctx context.Context, event spreader.Event) error
	// Snapshot returns the state after the last event that was applied.
	Snapshot() spreader.State
}

// Carrier carries out effects of one entry's spreader.
type Carrier struct {
	loop     Loop
	platform Platform
	peers    kingcupstile.Peers
	codec    kingcupstile.CatalogCodec
	mu       sync.Mutex
	end      context.CancelFunc
}

// New returns a carrier that brings what it learns to loop.
func New(loop Loop, platform Platform, peers kingcupstile.Peers, codec kingcupstile.CatalogCodec) *Carrier {
	return &Carrier{loop: loop, platform: platform, peers: peers, codec: codec}
}

// Run keeps the time for the spreader until ctx ends.
func (c *Carrier) Run(ctx context.Context) {
	ticker := time.NewTicker(TickEvery)
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

// Handle carries out an effect without blocking.
func (c *Carrier) Handle(ctx context.Context, effect spreader.Effect) {
	switch e := effect.(type) {
	case spreader.Send:
		go c.exchange(ctx, e)
	case spreader.Fetch:
		go c.fetch(ctx, e)
	case spreader.FetchRoster:
		go c.fetchRoster(ctx, e)
	case spreader.Ask:
		go c.ask(ctx)
	case spreader.Relay:
		c.relay(ctx, e.On)
	}
}

func (c *Carrier) exchange(ctx context.Context, e spreader.Send) {
	call, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	b, err := c.peers.Exchange(call, e.Address, e.Beat)
	if err != nil {
		_ = c.loop.Send(ctx, spreader.Missed{Name: e.Name, At: time.Now()})
		return
	}
	_ = c.loop.Send(ctx, spreader.Heard{Beat: b, At: time.Now()})
}

func (c *Carrier) fetch(ctx context.Context, e spreader.Fetch) {
	call, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	a, err := c.fetchFrom(call, e.Address)
	if err != nil {
		_ = c.loop.Send(ctx, spreader.Failed{Source: e.Name, At: time.Now()})
		return
	}
	_ = c.loop.Send(ctx, spreader.Held{Assembly: a, Source: e.Name, At: time.Now()})
}

func (c *Carrier) fetchFrom(ctx context.Context, address string) (assembler.Assembly, error) {
	head, err := c.peers.Head(ctx, address)
	if err != nil {
		return assembler.Assembly{}, err
	}
	parts := func(ctx context.Context, names []string) (map[string][]byte, error) {
		return c.peers.Parts(ctx, address, names)
	}
	return assembler.Join(ctx, c.codec, head, c.loop.Snapshot().Holding(), parts)
}

func (c *Carrier) fetchRoster(ctx context.Context, e spreader.FetchRoster) {
	call, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	change, err := c.peers.Roster(call, e.Address, e.After)
	if err != nil {
		return
	}
	if r, ok := c.loop.Snapshot().Roster().WithChange(change); ok {
		_ = c.loop.Send(ctx, spreader.Listed{Roster: r, At: time.Now()})
	}
}

// ask reads the platform once.
func (c *Carrier) ask(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	asked := time.Now()
	o, err := c.platform.Get(call, object.KindConfig, publisher.Head)
	switch {
	case fault.KindOf[kingcupstile.Kind](err) == kingcupstile.KindMissing:
		_ = c.loop.Send(ctx, spreader.Confirmed{Asked: asked})
	case err == nil:
		_, _ = c.take(ctx, o, asked)
	}
	if r, err := c.list(ctx); err == nil {
		_ = c.loop.Send(ctx, spreader.Listed{Roster: r, At: time.Now()})
	}
}

// take brings the configuration of a head that was read from the platform, and returns its version.
func (c *Carrier) take(ctx context.Context, o object.Object, asked time.Time) (uint64, error) {
	call, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	a, err := assembler.Join(call, c.codec, o.Value(), c.loop.Snapshot().Holding(), publisher.Fetch(c.platform))
	if err != nil {
		return 0, err
	}
	if err := c.loop.Send(ctx, spreader.Held{Assembly: a, At: time.Now()}); err != nil {
		return 0, err
	}
	return a.Version(), c.loop.Send(ctx, spreader.Confirmed{Version: a.Version(), Asked: asked})
}

// relay starts or ends the watches of the platform; it is called on the control goroutine only.
func (c *Carrier) relay(ctx context.Context, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.end != nil {
		c.end()
		c.end = nil
	}
	if !on {
		return
	}
	ctx, c.end = context.WithCancel(ctx)
	go c.watchHead(ctx)
	go c.watchRoster(ctx)
}

// watchHead watches the head; a watch that ends without news proves that there is none.
func (c *Carrier) watchHead(ctx context.Context) {
	var stored, version uint64
	wait := minPause
	for ctx.Err() == nil {
		asked := time.Now()
		o, err := c.watch(ctx, stored)
		switch {
		case err == nil:
			if version, err = c.take(ctx, o, asked); err == nil {
				stored = o.Version()
			}
		case fault.KindOf[kingcupstile.Kind](err) == kingcupstile.KindMissing:
			err = c.loop.Send(ctx, spreader.Confirmed{Version: version, Asked: asked})
		}
		if wait = next(wait, err); err != nil && !pauser.Jitter(ctx, wait) {
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
	wait := minPause
	for ctx.Err() == nil {
		r, err := c.list(ctx)
		switch {
		case err == nil:
			_ = c.loop.Send(ctx, spreader.Listed{Roster: r, At: time.Now()})
		case fault.KindOf[kingcupstile.Kind](err) == kingcupstile.KindMissing:
			err = nil
		}
		if wait = next(wait, err); err != nil && !pauser.Jitter(ctx, wait) {
			return
		}
	}
}

func (c *Carrier) list(ctx context.Context) (roster.Roster, error) {
	call, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	return c.platform.VMs(call, c.loop.Snapshot().Roster().Version())
}

// next returns how long to pause after a failure: longer each time, so that a platform that comes back is not flooded.
func next(wait time.Duration, err error) time.Duration {
	if err == nil {
		return minPause
	}
	return min(2*wait, maxPause)
}

// Exchange takes in another entry's heartbeat and answers with this entry's, which says that it heard.
func (c *Carrier) Exchange(ctx context.Context, b member.Beat) (member.Beat, error) {
	now := time.Now()
	if err := c.loop.Send(ctx, spreader.Heard{Beat: b, At: now}); err != nil {
		return member.Beat{}, err
	}
	return c.loop.Snapshot().Beat(now).WithHighest(max(b.Highest(), b.Held())), nil
}

// Head returns the value of the head of the configuration that this entry holds, empty if it holds none.
func (c *Carrier) Head() []byte { return c.loop.Snapshot().Holding().Head() }

// Parts returns the values of those of the named parts that this entry has, by name.
func (c *Carrier) Parts(names []string) map[string][]byte {
	holding, values := c.loop.Snapshot().Holding(), make(map[string][]byte, len(names))
	for _, name := range names {
		if value, ok := holding.Part(name); ok {
			values[name] = value
		}
	}
	return values
}

// Roster returns what changed in this entry's VM list since a version.
func (c *Carrier) Roster(after uint64) roster.Change { return c.loop.Snapshot().RosterSince(after) }
