//go:build review

package main

import (
	"fmt"
	"reflect"
	"time"
)

func init() { cases["6"] = reusedVersion }

const (
	runTime = 90 * time.Second
	// calmTime is how long orders are answered before each trouble; shiftTime is the time between two changes of demand.
	calmTime  = 15 * time.Second
	shiftTime = 2500 * time.Millisecond
	// troubleTime is how long orders get no answer from the first one on.
	troubleTime = 8400 * time.Millisecond
	// earliest and latest bound the time after which a late order is carried out.
	earliest, latest = 2 * time.Second, 12 * time.Second
)

// reusedVersion has the runners leave all orders of one switch unanswered for a while, and carry them out 6.8 to 12 s later.
func reusedVersion(w *world) (bool, error) {
	g := newGroup(w)
	w.store.Put("config", "main", configuration(7))
	ips := make([]string, ranks)
	for r, m := range g.members {
		ips[r] = m.ip
	}
	port, err := freePort(ips...)
	if err != nil {
		return false, err
	}
	addresses := make([]string, ranks)
	for r, ip := range ips {
		if addresses[r], err = w.serve(ip, g.handler(r)); err != nil {
			return false, err
		}
		w.store.Put("servers", fmt.Sprintf("i-%08x", r), registration(modelService, addresses[r], 12, "ready", w.began, 0))
	}
	stop := make(chan struct{})
	defer close(stop)
	go g.pass(stop)
	for r, ip := range ips {
		_, err := w.start(fmt.Sprintf("side-%d", r), map[string]any{
			"role": "endpoint", "name": fmt.Sprintf("side-%d", r), "centre": "kgl-a", "region": "kigali", "ip": ip, "store": w.storeAddress,
			"internal": []int{port, port + 15}, "engine": addresses[r], "service": modelService, "grace": "8s", "revoke": "5000ms",
			"lifetime": "5s", "retries": 0.2, "slack": 90, "memory": 152,
		})
		if err != nil {
			return false, err
		}
	}
	if w.trouble {
		g.late = lateOrders(g)
	}
	for time.Since(w.began) < runTime && g.mixedPasses() == 0 {
		g.shift()
		time.Sleep(shiftTime)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	w.note("%d passes, %d orders, %d of them late, %d passes with different maps", g.step, g.orders, g.lates, g.mixed)
	if g.orders < 100 {
		return false, fmt.Errorf("only %d orders were given", g.orders)
	}
	return g.mixed > 0, nil
}

// lateOrders returns what decides about orders: after each calm, the orders of a switch that begins get no answers. They are carried out
// after 12 s, but for one: once another map is ordered as the same version, the first map is prepared at a rank that has not got the
// order for the second one, and that keeps its experts in both.
func lateOrders(g *group) func(r int, o order) bool {
	var since time.Time
	var first order
	isDone := false
	calmSince := g.w.began
	return func(r int, o order) bool {
		if since.IsZero() {
			if time.Since(calmSince) < calmTime || o.Op != "prepare" {
				return false
			}
			since, first, isDone = time.Now(), o, false
			g.w.note("trouble begins: orders get no answer, from that for map %d on", o.Version)
		}
		if !isDone && o.Op == "prepare" && o.Version == first.Version && !reflect.DeepEqual(o.Map, first.Map) {
			g.w.note("another map is ordered as version %d", o.Version)
			isDone = g.carryOutKept(r, first, o)
		}
		if time.Since(since) >= troubleTime {
			g.w.note("trouble ends")
			since, calmSince = time.Time{}, time.Now()
			return false
		}
		return true
	}
}

// carryOutKept carries out a late order for the first of two maps at a rank other than r that has the same experts in both, and reports
// whether there is one.
func (g *group) carryOutKept(r int, first, second order) bool {
	for _, l := range g.waiting {
		isOf := l.rank != r && l.Op == first.Op && l.Version == first.Version && reflect.DeepEqual(l.Map, first.Map)
		if isOf && time.Since(l.since) >= earliest && g.members[l.rank].highest < l.Version && isKept(first.Map, second.Map, l.rank) {
			g.carryOut(l)
			return true
		}
	}
	return false
}

// isKept reports whether a rank has the same experts in two maps.
func isKept(a, b layout, rank int) bool {
	for s := range a {
		if !reflect.DeepEqual(a[s][rank], b[s][rank]) {
			return false
		}
	}
	return true
}
