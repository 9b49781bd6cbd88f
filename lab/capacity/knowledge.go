package capacity

import (
	"context"
	"net/http"
	"time"

	"github.com/kingcupstile/kingcupstile/protocol/messenger/wire"
	"github.com/kingcupstile/kingcupstile/state/roster"
)

// observe is how long a daemon's control work is watched at each size.
const observe = 10 * time.Second

// quiet answers reports for any number of endpoints.
type quiet struct{}

// Settle says that nothing is known.
func (quiet) Settle(context.Context, *wire.SettleRequest) (*wire.SettleReply, error) {
	return &wire.SettleReply{Outcome: "unknown"}, nil
}

// Report says that nothing runs.
func (quiet) Report(context.Context, *wire.ReportRequest) (*wire.ReportReply, error) {
	return &wire.ReportReply{Incarnation: "first"}, nil
}

// endpoints measures an entry's control work over the number of endpoints in the VM list.
func endpoints(ctx context.Context, b binary) ([]series, error) {
	processor := series{id: idEntryControl, name: "entry, control processor time", unit: "% of a core", over: "endpoints listed"}
	traffic := series{id: idEntryTraffic, name: "entry, control traffic", unit: "bytes/s", over: "endpoints listed"}
	memory := series{id: idEntryKnown, name: "entry, resident memory", unit: "bytes", over: "endpoints listed"}
	heap := series{name: "entry, heap", unit: "bytes", over: "endpoints listed"}
	for _, n := range []int{12, 1000, 4000, 12000} {
		w, err := newWorld(ctx, b)
		if err != nil {
			return nil, err
		}
		err = w.listEndpoints(ctx, n)
		var entry *process
		if err == nil {
			entry, err = w.daemon(ctx, map[string]string{"role": "entry", "name": "entry-1"})
		}
		if err != nil {
			w.close()
			return nil, err
		}
		time.Sleep(observe / 2)
		used, bytes := entry.processor(), w.bytes.Load()
		time.Sleep(observe)
		seconds := observe.Seconds()
		processor.points = append(processor.points, point{float64(n), 100 * (entry.processor() - used) / seconds})
		traffic.points = append(traffic.points, point{float64(n), float64(w.bytes.Load()-bytes) / seconds})
		memory.points = append(memory.points, point{float64(n), entry.resident()})
		heap.points = append(heap.points, point{float64(n), entry.metric(ctx, "process_heap_bytes")})
		w.close()
	}
	return []series{processor, traffic, memory, heap}, nil
}

// listEndpoints lists endpoints that all live at one address, over the plan's data centres and models.
func (w *world) listEndpoints(ctx context.Context, n int) error {
	mux := http.NewServeMux()
	mux.Handle(wire.EndpointPathPrefix, wire.NewEndpointServer(quiet{}))
	address, err := w.serve(ctx, mux)
	if err != nil {
		return err
	}
	vms := make([]roster.VM, n)
	for i := range vms {
		centre := "kgl-a"
		if other := i % planCentres; other > 0 {
			centre = numbered("centre", other)
		}
		vms[i] = roster.NewVM(numbered("endpoint", i), roster.RoleEndpoint,
			roster.Centre(centre), roster.Pool(numbered("model", i%planModels)), roster.PeerAddress(address))
	}
	w.store.PutVMs(vms...)
	return nil
}

// services measures an entry's memory and what one daemon reads over the number of services.
func services(ctx context.Context, b binary) ([]series, error) {
	memory := series{name: "entry, resident memory", unit: "bytes", over: "services"}
	bytes := series{name: "configuration, bytes from the platform to one daemon", unit: "bytes", over: "services"}
	for _, n := range []int{8, 100, 400} {
		p, err := newPair(ctx, b, 0, 1)
		if err == nil {
			before := p.world.bytes.Load()
			if err = p.world.publishServices(ctx, n); err == nil {
				time.Sleep(3 * time.Second)
				memory.points = append(memory.points, point{float64(n), p.entry.resident()})
				bytes.points = append(bytes.points, point{float64(n), float64(p.world.bytes.Load() - before)})
			}
		}
		if p != nil {
			p.world.close()
		}
		if err != nil {
			return nil, err
		}
	}
	return []series{memory, bytes}, nil
}

// accounts measures an entry's memory and what one daemon reads over the number of client accounts.
func accounts(ctx context.Context, b binary) ([]series, error) {
	memory := series{id: idEntryAccounts, name: "entry, resident memory", unit: "bytes", over: "client accounts"}
	heap := series{name: "entry, heap", unit: "bytes", over: "client accounts"}
	bytes := series{id: idConfigBytes, name: "configuration, bytes from the platform to one daemon", unit: "bytes", over: "client accounts"}
	for _, n := range []int{100, 2000, 7300} {
		p, err := newPair(ctx, b, 0, 1)
		if err == nil {
			before := p.world.bytes.Load()
			if err = p.world.publish(ctx, n); err == nil {
				time.Sleep(3 * time.Second)
				memory.points = append(memory.points, point{float64(n), p.entry.resident()})
				heap.points = append(heap.points, point{float64(n), p.entry.metric(ctx, "process_heap_bytes")})
				bytes.points = append(bytes.points, point{float64(n), float64(p.world.bytes.Load() - before)})
			}
		}
		if p != nil {
			p.world.close()
		}
		if err != nil {
			return nil, err
		}
	}
	return []series{memory, heap, bytes}, nil
}
