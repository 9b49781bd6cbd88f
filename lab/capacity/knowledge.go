package capacity

import (
	"context"
	"net/http"
	"time"

	"github.com/kingcupstile/kingcupstile/protocol/messenger/wire"
	"github.com/kingcupstile/kingcupstile/state/roster"
)

// observationTime is how long a daemon's control work is measured at each size.
const observationTime = 10 * time.Second

// idleEndpoint is a stand-in for any number of endpoints without requests in flight.
type idleEndpoint struct{}

// Settle answers that the outcome of the request is unknown.
func (idleEndpoint) Settle(context.Context, *wire.SettleRequest) (*wire.SettleReply, error) {
	return &wire.SettleReply{Outcome: "unknown"}, nil
}

// Report answers with a fixed incarnation and nothing in flight.
func (idleEndpoint) Report(context.Context, *wire.ReportRequest) (*wire.ReportReply, error) {
	return &wire.ReportReply{Incarnation: "first"}, nil
}

// endpoints measures an entry's control work over the number of endpoints in the VM list.
func endpoints(ctx context.Context, b binary) ([]series, error) {
	processor := series{id: idEntryControl, name: "entry, control processor time", unit: "% of a core", over: "endpoints listed"}
	traffic := series{id: idEntryTraffic, name: "entry, control traffic", unit: "bytes/s", over: "endpoints listed"}
	memory := series{id: idEntryListedEndpoints, name: "entry, resident memory", unit: "bytes", over: "endpoints listed"}
	heap := series{name: "entry, heap", unit: "bytes", over: "endpoints listed"}
	for _, n := range []int{12, 1000, 4000, 12000} {
		t, err := newTestbed(ctx, b)
		if err != nil {
			return nil, err
		}
		err = t.listEndpoints(ctx, n)
		var entry *process
		if err == nil {
			entry, err = t.daemon(ctx, map[string]string{"role": "entry", "name": "entry-1"})
		}
		if err != nil {
			t.close()
			return nil, err
		}
		time.Sleep(observationTime / 2)
		used, bytes := entry.processorSeconds(), t.bytes.Load()
		time.Sleep(observationTime)
		seconds := observationTime.Seconds()
		processor.points = append(processor.points, point{float64(n), 100 * (entry.processorSeconds() - used) / seconds})
		traffic.points = append(traffic.points, point{float64(n), float64(t.bytes.Load()-bytes) / seconds})
		memory.points = append(memory.points, point{float64(n), entry.residentBytes()})
		heap.points = append(heap.points, point{float64(n), entry.metric(ctx, "process_heap_bytes")})
		t.close()
	}
	return []series{processor, traffic, memory, heap}, nil
}

// listEndpoints puts n endpoints into the VM list, spread over the planned data centres and models. They all have the
// address of one idleEndpoint.
func (t *testbed) listEndpoints(ctx context.Context, n int) error {
	mux := http.NewServeMux()
	mux.Handle(wire.EndpointPathPrefix, wire.NewEndpointServer(idleEndpoint{}))
	address, err := t.serve(ctx, mux)
	if err != nil {
		return err
	}
	vms := make([]roster.VM, n)
	for i := range vms {
		centre := "kgl-a"
		if index := i % planCentres; index > 0 {
			centre = numbered("centre", index)
		}
		vms[i] = roster.NewVM(numbered("endpoint", i), roster.RoleEndpoint,
			roster.Centre(centre), roster.Pool(numbered("model", i%planModels)), roster.PeerAddress(address))
	}
	t.store.PutVMs(vms...)
	return nil
}

// services measures an entry's memory, and the bytes exchanged with the stand-ins for a change of configuration, over
// the number of services.
func services(ctx context.Context, b binary) ([]series, error) {
	memory := series{name: "entry, resident memory", unit: "bytes", over: "services"}
	bytes := series{name: "configuration, bytes from the platform to one daemon", unit: "bytes", over: "services"}
	for _, n := range []int{8, 100, 400} {
		d, err := newDeployment(ctx, b, 0, 1)
		if err == nil {
			before := d.testbed.bytes.Load()
			if err = d.testbed.publishServices(ctx, n); err == nil {
				time.Sleep(3 * time.Second)
				memory.points = append(memory.points, point{float64(n), d.entry.residentBytes()})
				bytes.points = append(bytes.points, point{float64(n), float64(d.testbed.bytes.Load() - before)})
			}
		}
		if d != nil {
			d.testbed.close()
		}
		if err != nil {
			return nil, err
		}
	}
	return []series{memory, bytes}, nil
}

// accounts measures an entry's memory, and the bytes exchanged with the stand-ins for a change of configuration, over
// the number of client accounts.
func accounts(ctx context.Context, b binary) ([]series, error) {
	memory := series{id: idEntryAccounts, name: "entry, resident memory", unit: "bytes", over: "client accounts"}
	heap := series{name: "entry, heap", unit: "bytes", over: "client accounts"}
	bytes := series{id: idConfigBytes, name: "configuration, bytes from the platform to one daemon", unit: "bytes", over: "client accounts"}
	for _, n := range []int{100, 2000, 7300} {
		d, err := newDeployment(ctx, b, 0, 1)
		if err == nil {
			before := d.testbed.bytes.Load()
			if err = d.testbed.publish(ctx, n); err == nil {
				time.Sleep(3 * time.Second)
				memory.points = append(memory.points, point{float64(n), d.entry.residentBytes()})
				heap.points = append(heap.points, point{float64(n), d.entry.metric(ctx, "process_heap_bytes")})
				bytes.points = append(bytes.points, point{float64(n), float64(d.testbed.bytes.Load() - before)})
			}
		}
		if d != nil {
			d.testbed.close()
		}
		if err != nil {
			return nil, err
		}
	}
	return []series{memory, heap, bytes}, nil
}
