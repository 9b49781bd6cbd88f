package daemon

import (
	"context"

	"github.com/kingcupstile/kingcupstile/coordination/admitter"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/transport/answerer"
	"github.com/kingcupstile/kingcupstile/transport/invoker"
	"github.com/kingcupstile/kingcupstile/transport/meter"
)

// admissionLimit returns the adaptive limit on attempts that run at once on the runner; the settings' limit, if above
// 0, is its upper bound.
func (d *Daemon) admissionLimit() admitter.Limit {
	if d.settings.Limit > 0 {
		return admitter.NewLimit(admitter.MaxLimit(d.settings.Limit))
	}
	return admitter.NewLimit()
}

// runEndpoint serves entries beside one runner until stop ends, and then drains.
func (d *Daemon) runEndpoint(stop, kill context.Context) error {
	incarnation := newIncarnation()
	a := answerer.New(incarnation, invoker.New(d.settings.Engine), answerer.Log(d.log), answerer.Limit(d.admissionLimit()))
	control, end := context.WithCancel(context.WithoutCancel(stop))
	defer end()
	go a.Run(control)
	server, page := d.serve("peers", a.Handler()), d.servePage(meter.New())
	defer func() { _, _ = server.Close(), page.Close() }()
	d.log.Info("endpoint serves entries", "incarnation", incarnation, "peers", d.addresses().Peers)
	d.ready(d.addresses())
	<-stop.Done()
	d.log.Info("endpoint leaves")
	leaving, cancel := d.drainContext(kill)
	defer cancel()
	if err := a.Drain(leaving); err != nil {
		return fault.New("stop endpoint before it drained", KindCut, err)
	}
	if err := a.Wait(leaving); err != nil {
		return fault.New("stop endpoint before it drained", KindCut, err)
	}
	if err := server.Shutdown(leaving); err != nil {
		return fault.New("stop endpoint before it drained", KindCut, err)
	}
	return nil
}
