package spreader_test

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/coordination/carrier"
	"github.com/kingcupstile/kingcupstile/coordination/director"
	"github.com/kingcupstile/kingcupstile/coordination/looper"
	"github.com/kingcupstile/kingcupstile/coordination/publisher"
	"github.com/kingcupstile/kingcupstile/coordination/spreader"
	"github.com/kingcupstile/kingcupstile/protocol/translator"
	"github.com/kingcupstile/kingcupstile/standin/platform"
	"github.com/kingcupstile/kingcupstile/state/catalog"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/member"
	"github.com/kingcupstile/kingcupstile/state/object"
	"github.com/kingcupstile/kingcupstile/state/roster"
)

const (
	seed = 20261204
	// inForceLimit is the stated target: the longest time until an accepted version is in force at every entry.
	inForceLimit = 10 * time.Second
)

// simulation runs the entries of three data centres and the platform in memory and in simulated time.
type simulation struct {
	mu             sync.Mutex
	random         *rand.Rand
	store          *platform.Store
	entries        map[string]*entry
	names          []string
	partitioned    map[string]bool // entries on one side of a partition, which calls do not cross
	lossPercent    int
	platformDown   bool
	platformFaulty bool
	headsFail      bool
	highestInForce map[string]uint64
	reverts        []string
}

// entry is one run of an entry, from its start until it is killed.
type entry struct {
	loop    *looper.Loop[director.State, director.Event, director.Effect]
	carrier *carrier.Carrier
	cancel  context.CancelFunc
}

type spreadLoop struct{ entry *entry }

func (l spreadLoop) Send(ctx context.Context, e spreader.Event) error {
	return l.entry.loop.Send(ctx, director.SpreaderEvent{Event: e, At: time.Now()})
}

func (l spreadLoop) Snapshot() spreader.State { return l.entry.loop.Snapshot().Spreader() }

func newSimulation(n int, randomSeed uint64) *simulation {
	sim := &simulation{
		random:  rand.New(rand.NewPCG(seed, randomSeed)),
		entries: map[string]*entry{}, partitioned: map[string]bool{}, highestInForce: map[string]uint64{},
	}
	sim.store = platform.New(platform.Faults(sim.fault))
	for i := range n {
		name := fmt.Sprintf("entry-%d", i)
		sim.names = append(sim.names, name)
		sim.store.PutVM(roster.NewVM(name, roster.RoleEntry, roster.Centre(fmt.Sprintf("centre-%d", i%3)), roster.PeerAddress(name)))
	}
	return sim
}

func (sim *simulation) randomN(n int) int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.random.IntN(n)
}

func (sim *simulation) isCallLost() bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.random.IntN(100) < sim.lossPercent
}

func (sim *simulation) isPlatformFaulty() bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.platformFaulty
}

func (sim *simulation) isHeadFailing() bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.headsFail
}

func (sim *simulation) set(change func()) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	change()
}

func (sim *simulation) fault(call platform.Call, _ string) (before, after error) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	switch {
	case sim.platformDown:
		return fault.New("call", kingcupstile.KindUnavailable, nil), nil
	case sim.platformFaulty && call == platform.CallPut && sim.random.IntN(4) == 0:
		return nil, fault.New("put", kingcupstile.KindUncertain, nil)
	case sim.platformFaulty && call == platform.CallWatch && sim.random.IntN(6) == 0:
		return fault.New("watch", kingcupstile.KindUnavailable, nil), nil
	}
	return nil, nil
}

// start starts an entry, which knows nothing of its earlier runs.
func (sim *simulation) start(ctx context.Context, name string) {
	ctx, cancel := context.WithCancel(ctx)
	e := &entry{cancel: cancel}
	var i int
	_, _ = fmt.Sscanf(name, "entry-%d", &i)
	spread := spreader.New(name, fmt.Sprintf("centre-%d", i%3), time.Now()).WithAddress(name)
	e.carrier = carrier.New(spreadLoop{e}, laggingPlatform{sim}, peers{sim, name}, translator.CatalogCodec{})
	step := func(s director.State, event director.Event) (director.State, []director.Effect) {
		next, effects := director.Step(s, event)
		if ctx.Err() == nil {
			sim.observe(name, next.Catalog().Version())
		}
		return next, effects
	}
	e.loop = looper.New(director.New().WithSpreader(spread), step, func(ctx context.Context, effect director.Effect) {
		if s, ok := effect.(director.SpreaderEffect); ok {
			e.carrier.Handle(ctx, s.Effect)
		}
	})
	sim.set(func() { sim.entries[name] = e })
	go e.loop.Run(ctx)
	go e.carrier.Run(ctx)
}

func (sim *simulation) kill(name string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if e := sim.entries[name]; e != nil {
		e.cancel()
		delete(sim.entries, name)
	}
}

func (sim *simulation) stop() {
	for name := range sim.running() {
		sim.kill(name)
	}
	time.Sleep(inForceLimit)
}

func (sim *simulation) running() map[string]*entry {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return maps.Clone(sim.entries)
}

// observe records a version in force, which must never be lower than an earlier one of the same entry, in any run.
func (sim *simulation) observe(name string, version uint64) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if version > 0 && version < sim.highestInForce[name] && len(sim.reverts) == 0 {
		sim.reverts = append(sim.reverts, fmt.Sprintf("%s went back from version %d to %d", name, sim.highestInForce[name], version))
	}
	sim.highestInForce[name] = max(sim.highestInForce[name], version)
}

// version returns the version in force at an entry.
func (sim *simulation) version(name string) uint64 {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if e := sim.entries[name]; e != nil {
		return e.loop.Snapshot().Catalog().Version()
	}
	return 0
}

func (sim *simulation) lagging(version uint64) []string {
	var names []string
	for _, name := range sim.names {
		if got := sim.version(name); got < version {
			names = append(names, fmt.Sprintf("%s at %d", name, got))
		}
	}
	return names
}

// publish lets several operators publish concurrently, each with a change based on the version in force.
func (sim *simulation) publish(ctx context.Context, operators int) {
	p := publisher.New(sim.store, translator.CatalogCodec{})
	current, err := p.Read(ctx)
	if err != nil {
		return
	}
	var work sync.WaitGroup
	for i := range operators {
		work.Go(func() {
			_, _ = p.Publish(ctx, publisher.Change{
				Author: fmt.Sprintf("operator-%d", i), Base: current.Version(),
				Services: []catalog.Service{catalog.NewService(fmt.Sprintf("service-%d-%d", current.Version(), i))},
			})
		})
	}
	work.Wait()
}

// inForce returns the version of the configuration on the platform.
func (sim *simulation) inForce(ctx context.Context) (uint64, error) {
	c, err := publisher.New(sim.store, translator.CatalogCodec{}).Read(ctx)
	return c.Version(), err
}

// peers carries an entry's calls to the others, with delay, loss and partitions.
type peers struct {
	sim  *simulation
	self string
}

func (p peers) reach(ctx context.Context, name string) (*carrier.Carrier, error) {
	lost := p.sim.isCallLost()
	time.Sleep(time.Duration(p.sim.randomN(3000)) * time.Microsecond)
	p.sim.mu.Lock()
	e := p.sim.entries[name]
	partitioned := p.sim.partitioned[p.self] != p.sim.partitioned[name]
	p.sim.mu.Unlock()
	if e == nil {
		return nil, fault.New("call", kingcupstile.KindUnavailable, nil)
	}
	if lost || partitioned {
		<-ctx.Done()
		return nil, fault.New("call", kingcupstile.KindUnavailable, ctx.Err())
	}
	return e.carrier, nil
}

func (p peers) Exchange(ctx context.Context, name string, b member.Heartbeat) (member.Heartbeat, error) {
	c, err := p.reach(ctx, name)
	if err != nil {
		return member.Heartbeat{}, err
	}
	return c.Exchange(ctx, b)
}

func (p peers) Head(ctx context.Context, name string) ([]byte, error) {
	c, err := p.reach(ctx, name)
	if err != nil {
		return nil, err
	}
	if p.sim.isHeadFailing() {
		return nil, fault.New("fetch head", kingcupstile.KindUnavailable, nil)
	}
	return c.Head(), nil
}

func (p peers) Parts(ctx context.Context, name string, names []string) (map[string][]byte, error) {
	c, err := p.reach(ctx, name)
	if err != nil {
		return nil, err
	}
	return c.Parts(names), nil
}

func (p peers) Roster(ctx context.Context, name string, after uint64) (roster.Change, error) {
	c, err := p.reach(ctx, name)
	if err != nil {
		return roster.Change{}, err
	}
	return c.Roster(after), nil
}

// laggingPlatform is the platform with watches that are late, miss a change or end early.
type laggingPlatform struct{ sim *simulation }

func (l laggingPlatform) Get(ctx context.Context, kind object.Kind, name string) (object.Object, error) {
	time.Sleep(time.Duration(l.sim.randomN(5000)) * time.Microsecond)
	return l.sim.store.Get(ctx, kind, name)
}

func (l laggingPlatform) Put(ctx context.Context, o object.Object) (object.Object, error) {
	return l.sim.store.Put(ctx, o)
}

func (l laggingPlatform) Watch(ctx context.Context, kind object.Kind, name string, after uint64) (object.Object, error) {
	wait, cancel := context.WithTimeout(ctx, carrier.LongPollDuration)
	defer cancel()
	if l.sim.isPlatformFaulty() && l.sim.randomN(4) == 0 {
		short, done := context.WithTimeout(ctx, time.Millisecond)
		defer done()
		o, err := l.sim.store.Watch(short, kind, name, after)
		if err != nil {
			<-wait.Done()
		}
		return o, err
	}
	o, err := l.sim.store.Watch(wait, kind, name, after)
	if err == nil && l.sim.isPlatformFaulty() {
		time.Sleep(time.Duration(l.sim.randomN(1000)) * time.Millisecond)
	}
	return o, err
}

func (l laggingPlatform) VMs(ctx context.Context, after uint64) (roster.Roster, error) {
	wait, cancel := context.WithTimeout(ctx, carrier.LongPollDuration)
	defer cancel()
	return l.sim.store.VMs(wait, after)
}

// runStep carries out one generated step and describes it.
func (sim *simulation) runStep(ctx context.Context, code int) string {
	name := sim.names[code/16%len(sim.names)]
	switch code % 8 {
	case 0, 1:
		operators := 1 + code/16%3
		sim.publish(ctx, operators)
		return fmt.Sprintf("publish by %d", operators)
	case 2, 3:
		sim.kill(name)
		time.Sleep(time.Duration(code/16%2000) * time.Millisecond)
		sim.start(ctx, name)
		time.Sleep(8 * time.Second)
		return "restart of " + name
	case 4:
		sim.set(func() { sim.platformDown = !sim.platformDown })
		return "platform toggled"
	case 5:
		sim.set(func() { sim.partitioned[name] = !sim.partitioned[name] })
		return "cut toggled for " + name
	case 6:
		sim.set(func() { sim.lossPercent = code / 16 % 15 })
		return "call loss set"
	}
	return sim.publishToSome(ctx, code)
}

// publishToSome publishes while some entries are cut off from the rest, takes the platform down, heals the partition,
// and restarts the entry with the highest version, which must not put a lower one in force.
func (sim *simulation) publishToSome(ctx context.Context, code int) string {
	behind := map[string]bool{}
	for i, name := range sim.names {
		behind[name] = code>>(4+i)&1 == 1
	}
	sim.set(func() { sim.partitioned, sim.platformDown = behind, false })
	sim.publish(ctx, 1)
	time.Sleep(time.Duration(50+code/16%200) * time.Millisecond)
	sim.set(func() { sim.platformDown, sim.partitioned = true, map[string]bool{} })
	ahead := slices.MaxFunc(sim.names, func(a, b string) int { return cmp.Compare(sim.version(a), sim.version(b)) })
	sim.kill(ahead)
	sim.start(ctx, ahead)
	time.Sleep(8 * time.Second)
	return fmt.Sprintf("publish that misses %v", behind)
}

// runSteps runs generated steps, removes all faults, and returns the violations that it found.
func runSteps(ctx context.Context, codes []int) (wrong []string) {
	const count = 9
	sim := newSimulation(count, uint64(len(codes)))
	defer sim.stop()
	sim.set(func() { sim.platformFaulty = true })
	sim.publish(ctx, 1)
	for _, name := range sim.names {
		sim.start(ctx, name)
	}
	time.Sleep(inForceLimit)
	done := make([]string, 0, len(codes))
	for _, code := range codes {
		done = append(done, sim.runStep(ctx, code))
	}
	sim.set(func() {
		sim.platformDown, sim.platformFaulty, sim.lossPercent, sim.partitioned = false, false, 0, map[string]bool{}
	})
	want, err := sim.inForce(ctx)
	if err != nil {
		return append(wrong, err.Error())
	}
	time.Sleep(3 * inForceLimit)
	sim.publish(ctx, 1)
	time.Sleep(inForceLimit)
	if lagging := sim.lagging(want + 1); len(lagging) > 0 {
		wrong = append(wrong, fmt.Sprintf("version %d is not in force at %v", want+1, lagging))
	}
	sim.set(func() { wrong = append(wrong, sim.reverts...) })
	if len(wrong) > 0 {
		wrong = append(wrong, "after "+strings.Join(done, ", "))
	}
	return wrong
}

// TestNeverReverts checks that no entry ever puts a lower version in force, not even after a restart, and that accepted
// versions reach all entries, under concurrent operators, lost answers, restarts, partitions, lost calls, outages of
// the platform, and watches that end early, are late or miss a change.
func TestNeverReverts(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(seed)
	parameters.MinSuccessfulTests = 60
	parameters.MaxShrinkCount = 0
	properties := gopter.NewProperties(parameters)
	properties.Property("versions never decrease and reach every entry", prop.ForAll(
		func(codes []int) string {
			var wrong []string
			synctest.Test(t, func(t *testing.T) { wrong = runSteps(t.Context(), codes) })
			return strings.Join(wrong, "; ")
		},
		gen.SliceOfN(16, gen.IntRange(0, 1<<16)),
	))
	properties.TestingRun(t)
}

// newSettled returns a simulation whose n entries all have version 1 in force.
func newSettled(t *testing.T, n int) *simulation {
	t.Helper()
	sim := newSimulation(n, uint64(n))
	t.Cleanup(sim.stop)
	sim.publish(t.Context(), 1)
	for _, name := range sim.names {
		sim.start(t.Context(), name)
	}
	time.Sleep(inForceLimit)
	if lagging := sim.lagging(1); len(lagging) > 0 {
		t.Fatalf("not in force after %v: %v", inForceLimit, lagging)
	}
	return sim
}

// publishAndAwait publishes a version and returns the time until it is in force at every entry.
func (sim *simulation) publishAndAwait(t *testing.T) time.Duration {
	t.Helper()
	began := time.Now()
	sim.publish(t.Context(), 1)
	version, err := sim.inForce(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for len(sim.lagging(version)) > 0 {
		if time.Since(began) > 2*inForceLimit {
			t.Fatalf("version %d is not in force at %v", version, sim.lagging(version))
		}
		time.Sleep(time.Millisecond)
	}
	return time.Since(began)
}

func TestInForceInTime(t *testing.T) {
	const target = 2 * time.Second
	for name, test := range map[string]struct {
		entries int
		limit   time.Duration
		change  func(*simulation)
	}{
		"platform up":             {9, target, func(*simulation) {}},
		"loss of one call in ten": {9, inForceLimit, func(sim *simulation) { sim.set(func() { sim.lossPercent = 10 }) }},
		"all relays of a centre dead": {30, inForceLimit, func(sim *simulation) {
			for _, vm := range spreader.Relays(sim.store.Roster().VMs(), "centre-0") {
				sim.kill(vm.Name())
				sim.names = without(sim.names, vm.Name())
			}
		}},
		"peers that give no configuration": {30, inForceLimit, func(sim *simulation) { sim.set(func() { sim.headsFail = true }) }},
		"centre lost": {9, inForceLimit, func(sim *simulation) {
			for i := 0; i < 9; i += 3 {
				sim.kill(fmt.Sprintf("entry-%d", i))
				sim.names = without(sim.names, fmt.Sprintf("entry-%d", i))
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sim := newSettled(t, test.entries)
				test.change(sim)
				took := sim.publishAndAwait(t)
				t.Logf("in force everywhere after %v", took)
				if took > test.limit {
					t.Errorf("in force everywhere after %v", took)
				}
			})
		})
	}
}

// TestRestartInOutage checks, while the platform is down, that a restarted entry learns the version in force from the
// others, and that no entry puts a version in force after all of them restarted, as none can know it to be the highest.
func TestRestartInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSettled(t, 9)
		sim.set(func() { sim.platformDown = true })
		sim.kill("entry-4")
		sim.start(t.Context(), "entry-4")
		if v := sim.version("entry-4"); v != 0 {
			t.Errorf("version %d in force before a heartbeat from any other entry", v)
		}
		time.Sleep(inForceLimit)
		if v := sim.version("entry-4"); v != 1 {
			t.Errorf("version %d in force after heartbeats from the others, want 1", v)
		}
		for _, name := range sim.names {
			sim.kill(name)
		}
		for _, name := range sim.names {
			sim.start(t.Context(), name)
		}
		time.Sleep(3 * inForceLimit)
		for _, name := range sim.names {
			if v := sim.version(name); v != 0 {
				t.Errorf("%s has version %d in force, which no entry could know to be the highest", name, v)
			}
		}
		sim.set(func() { sim.platformDown = false })
		time.Sleep(4 * inForceLimit)
		if lagging := sim.lagging(1); len(lagging) > 0 {
			t.Errorf("not in force after the outage: %v", lagging)
		}
	})
}

// TestLeavingIsHeard checks that an entry's announcement that it is leaving reaches all others, which no longer name it
// to callers.
func TestLeavingIsHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSettled(t, 9)
		leaving := sim.entries["entry-2"]
		if err := (spreadLoop{leaving}).Send(t.Context(), spreader.Leave{At: time.Now()}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		for _, name := range sim.names {
			vm, _ := sim.entries[name].loop.Snapshot().Usable().VM("entry-2")
			if name != "entry-2" && vm.Status() != roster.StatusLeaving {
				t.Errorf("%s still lists entry-2 as usable", name)
			}
		}
	})
}

func without(names []string, excluded string) []string {
	var rest []string
	for _, name := range names {
		if name != excluded {
			rest = append(rest, name)
		}
	}
	return rest
}

// TestCutOffWaits checks that an entry that no other can reach puts no new version in force, since it could learn that
// version from nobody after a restart.
func TestCutOffWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSettled(t, 9)
		sim.set(func() { sim.partitioned["entry-2"] = true })
		time.Sleep(3 * inForceLimit)
		sim.publish(t.Context(), 1)
		time.Sleep(inForceLimit)
		if got := sim.version("entry-2"); got != 1 {
			t.Errorf("version %d is in force at the entry that is cut off, want 1", got)
		}
		sim.set(func() { sim.partitioned["entry-2"] = false })
		time.Sleep(inForceLimit)
		if lagging := sim.lagging(2); len(lagging) > 0 {
			t.Errorf("version 2 is not in force at %v", lagging)
		}
	})
}
