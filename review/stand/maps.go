//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"reflect"
	"slices"
	"sync"
	"time"
)

const (
	ranks   = 12
	sets    = 4
	experts = 72
	places  = 8
	spare   = 3
	// passTime is the time between two passes, and copyTime how long a rank copies one expert: 2200 MB over 180000 Mbit/s.
	passTime = 40 * time.Millisecond
	copyTime = 98 * time.Millisecond
)

type layout [][][]int

// group is a group of model runners as the pages describe it: its ranks execute each pass together.
type group struct {
	w  *world
	mu sync.Mutex
	// step is the last pass that was begun.
	step    uint64
	members [ranks]*member
	mixed   int
	// popular is the expert of the first set that is in demand beyond the others.
	popular int
	// late decides about each order whether it gets no answer and is carried out later.
	late          func(r int, o order) bool
	waiting       []*lateOrder
	orders, lates int
}

// member is the runner of one rank.
type member struct {
	seq     uint64
	highest uint64
	inUse   mapState
	// prepared is the map that was prepared last, whose copy is complete at copiedAt.
	prepared  mapState
	copiedAt  time.Time
	armed     uint64
	armedStep uint64
	held      uint64
	counts    []uint64
	ip        string
}

// lateOrder is an order without an answer, which is carried out when its timer ends or before.
type lateOrder struct {
	order
	rank  int
	since time.Time
	timer *time.Timer
}

type mapState struct {
	version uint64
	layout  layout
}

type order struct {
	Op           string  `json:"op"`
	Epoch        *uint64 `json:"epoch"`
	Precondition *uint64 `json:"precondition"`
	Version      uint64  `json:"version"`
	Step         uint64  `json:"step"`
	Map          layout  `json:"map"`
}

func newGroup(w *world) *group {
	initial := make(layout, sets)
	for s := range initial {
		initial[s] = make([][]int, ranks)
		for e := range experts {
			initial[s][e%ranks] = append(initial[s][e%ranks], e)
		}
	}
	g := &group{w: w, late: func(int, order) bool { return false }}
	for r := range g.members {
		g.members[r] = &member{inUse: mapState{layout: initial}, counts: make([]uint64, sets*experts), ip: fmt.Sprintf("127.6.1.%d", 10+r)}
	}
	return g
}

// pass begins passes until stop is closed, and counts those in which ranks have different maps.
func (g *group) pass(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(passTime):
		}
		g.mu.Lock()
		g.begin()
		g.mu.Unlock()
	}
}

// mixedPasses returns the number of passes in which ranks had different maps.
func (g *group) mixedPasses() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mixed
}

func (g *group) begin() {
	for _, m := range g.members {
		if m.held == g.step+1 {
			return
		}
	}
	g.step++
	for r, m := range g.members {
		if m.armed != 0 && m.armedStep == g.step {
			g.w.note("pass %d: rank %d switches to map %d", g.step, r, m.armed)
			m.inUse, m.armed, m.prepared = m.prepared, 0, mapState{}
		}
		for s := range sets {
			for e := range experts {
				m.counts[s*experts+e] += 6
			}
		}
		m.counts[g.popular] += 6 * 8
	}
	first := g.members[0].inUse
	for r, m := range g.members {
		if m.inUse.version != first.version || !reflect.DeepEqual(m.inUse.layout, first.layout) {
			if g.mixed < 5 {
				g.w.note("MAP: pass %d begins while rank 0 has map %d and rank %d map %d; same content: %t",
					g.step, first.version, r, m.inUse.version, reflect.DeepEqual(m.inUse.layout, first.layout))
			}
			g.mixed++
			return
		}
	}
}

// shift has another expert of the first set in demand beyond the others, one that only one rank holds.
func (g *group) shift() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for range experts {
		g.popular = (g.popular + 7) % experts
		hosts := 0
		for _, list := range g.members[0].inUse.layout[0] {
			if slices.Contains(list, g.popular) {
				hosts++
			}
		}
		if hosts == 1 {
			break
		}
	}
	g.w.note("expert %d of the first set is in demand", g.popular)
}

// report returns the report of a rank.
func (g *group) report(r int) []byte {
	m := g.members[r]
	var armed any
	if m.armed != 0 {
		armed = map[string]any{"version": m.armed, "step": m.armedStep}
	}
	text, _ := json.Marshal(map[string]any{
		"phase": "both", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "busy": false, "seq": m.seq,
		"queued": 0, "active": 6, "kvUsed": 41000, "kvTotal": 280000, "handlers": 0, "pace": 1.0, "size": ranks,
		"group": map[string]any{"name": "g-1", "epoch": 1, "rank": r, "state": "open"},
		"step":  g.step, "map": m.inUse.version, "preloaded": m.copied(), "armed": armed, "held": m.held,
	})
	return text
}

// copied returns the version of the prepared map once its copy is complete.
func (m *member) copied() uint64 {
	if time.Now().Before(m.copiedAt) {
		return 0
	}
	return m.prepared.version
}

// experts returns the experts of a rank in a map.
func (s mapState) experts(r int) [][]int {
	list := make([][]int, 0, sets)
	for _, set := range s.layout {
		list = append(list, set[r])
	}
	return list
}

// handler serves the runner of a rank.
func (g *group) handler(r int) http.Handler {
	m := g.members[r]
	mux := http.NewServeMux()
	answer := func(w http.ResponseWriter, q *http.Request, text []byte) {
		w.Header().Set("X-Request-Id", q.Header.Get("X-Request-Id"))
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(text)
	}
	mux.HandleFunc("GET /kingcupstile/report", func(w http.ResponseWriter, q *http.Request) {
		g.mu.Lock()
		text := g.report(r)
		g.mu.Unlock()
		answer(w, q, text)
	})
	mux.HandleFunc("GET /kingcupstile/picked", func(w http.ResponseWriter, q *http.Request) {
		g.mu.Lock()
		var document any = map[string]any{"step": g.step, "epoch": 1, "counts": slices.Clone(m.counts)}
		if q.URL.Query().Has("lists") {
			var preloaded any
			if m.copied() != 0 {
				preloaded = map[string]any{"version": m.prepared.version, "experts": m.prepared.experts(r)}
			}
			document = map[string]any{
				"map": map[string]any{"version": m.inUse.version, "experts": m.inUse.experts(r)}, "preloaded": preloaded,
			}
		}
		text, _ := json.Marshal(document)
		g.mu.Unlock()
		answer(w, q, text)
	})
	mux.HandleFunc("POST /kingcupstile/order", func(w http.ResponseWriter, q *http.Request) {
		var o order
		if err := json.NewDecoder(q.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		w.Header().Set("X-Request-Id", q.Header.Get("X-Request-Id"))
		w.WriteHeader(g.receive(q, r, o))
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, q *http.Request) { answer(w, q, nil) })
	return mux
}

// receive carries an order out and returns the status of the answer, or has it wait without an answer.
func (g *group) receive(q *http.Request, r int, o order) int {
	g.mu.Lock()
	g.orders++
	if !g.late(r, o) {
		defer g.mu.Unlock()
		status := g.apply(r, o)
		g.w.note("order to rank %d: %s version %d step %d: %d", r, o.Op, o.Version, o.Step, status)
		return status
	}
	g.lates++
	g.w.note("order to rank %d: %s version %d step %d: no answer, carried out late", r, o.Op, o.Version, o.Step)
	l := &lateOrder{order: o, rank: r, since: time.Now()}
	l.timer = time.AfterFunc(latest, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.carryOut(l)
	})
	g.waiting = append(g.waiting, l)
	g.mu.Unlock()
	<-q.Context().Done()
	return http.StatusServiceUnavailable
}

// carryOut carries a late order out, unless that was done.
func (g *group) carryOut(l *lateOrder) {
	at := slices.Index(g.waiting, l)
	if at < 0 {
		return
	}
	g.waiting = slices.Delete(g.waiting, at, at+1)
	l.timer.Stop()
	g.w.note("order to rank %d: %s version %d step %d: carried out after %v: %d", l.rank, l.Op, l.Version, l.Step,
		time.Since(l.since).Round(time.Millisecond), g.apply(l.rank, l.order))
}

// apply carries an order out, as the page on the protocol says, and returns the status of the answer.
func (g *group) apply(r int, o order) int {
	m := g.members[r]
	switch {
	case o.Epoch != nil && *o.Epoch != 1:
		return http.StatusConflict
	case m.holds(o):
		return http.StatusOK
	case o.Precondition != nil && *o.Precondition != m.seq:
		return http.StatusConflict
	}
	switch o.Op {
	case "prepare":
		added := m.added(r, o.Map)
		if o.Version <= m.highest || m.armed != 0 || !isWhole(o.Map) || slices.Max(added) > spare {
			return http.StatusConflict
		}
		copies := 0
		for _, n := range added {
			copies += n
		}
		m.highest, m.prepared, m.copiedAt = o.Version, mapState{version: o.Version, layout: o.Map}, time.Now().Add(time.Duration(copies)*copyTime)
	case "arm":
		if m.copied() != o.Version || o.Version == 0 || o.Step <= g.step || m.armed != 0 {
			return http.StatusConflict
		}
		m.armed, m.armedStep = o.Version, o.Step
	case "disarm":
		if m.inUse.version == o.Version || m.armed != o.Version {
			return http.StatusConflict
		}
		m.armed = 0
	case "hold":
		if o.Step <= g.step || m.held != 0 {
			return http.StatusConflict
		}
		m.held = o.Step
	case "go":
		if m.held != o.Step {
			return http.StatusConflict
		}
		m.held = 0
	default:
		return http.StatusBadRequest
	}
	m.seq++
	return http.StatusAccepted
}

// holds reports whether what an order asks for holds already.
func (m *member) holds(o order) bool {
	switch o.Op {
	case "prepare":
		return m.prepared.version == o.Version && reflect.DeepEqual(m.prepared.layout, o.Map)
	case "arm":
		return m.armed == o.Version && m.armed != 0 && m.armedStep == o.Step
	case "hold":
		return m.held == o.Step && m.held != 0
	}
	return false
}

// added returns how many experts of each set a map has a rank copy.
func (m *member) added(r int, l layout) []int {
	added := make([]int, max(1, len(l)))
	for s := range l {
		for _, e := range l[s][r] {
			if !slices.Contains(m.inUse.layout[s][r], e) {
				added[s]++
			}
		}
	}
	return added
}

// isWhole reports whether a map has each expert on a rank, and no more on a rank than have room.
func isWhole(l layout) bool {
	if len(l) != sets {
		return false
	}
	for _, set := range l {
		seen := map[int]bool{}
		for _, list := range set {
			if len(list) > places {
				return false
			}
			for _, e := range list {
				seen[e] = true
			}
		}
		if len(set) != ranks || len(seen) != experts {
			return false
		}
	}
	return true
}
