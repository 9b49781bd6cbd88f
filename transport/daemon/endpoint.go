package daemon

import (
	"context"

	"github.com/kingcupstile/kingcupstile/coordination/admitter"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/transport/answerer"
	"github.com/kingcupstile/kingcupstile/transport/invoker"
	"github.com/kingcupstile/kingcupstile/transport/meter"
)

// limit returns how many attempts the back end may run at once, which is learnt up to what the settings say.
func (d *Daemon) limit() admitter.Limit {
	if d.settings.Limit > 0 {
		return admitter.NewLimit(admitter.MaxLimit(d.settings.Limit))
	}
	return admitter.NewLimit()
}

// runEndpoint serves entries beside one back end.
func (d *Daemon) runEndpoint(stop, kill context.Context) error {
	incarnation := newIncarnation()
	a := answerer.New(incarnation, invoker.New(d.settings.Engine), answerer.Log(d.log), answerer.Limit(d.limit()))
	control, end := context.WithCancel(context.WithoutCancel(stop))
	defer end()
	go a.Run(control)
	server, page := d.serve("peers", a.Handler()), d.page(meter.New())
	defer func() { _, _ = server.Close(), page.Close() }()
	d.log.Info("endpoint runs", "incarnation", incarnation, "peers", d.addresses().Peers)
	d.ready(d.addresses())
	<-stop.Done()
	d.log.Info("endpoint leaves")
	leaving, cancel := d.leave(kill)
	defer cancel()
	if err := a.Drain(leaving); err != nil {
		return fault.New("stop endpoint", KindCut, err)
	}
	if err := a.Wait(leaving); err != nil {
		return fault.New("stop endpoint", KindCut, err)
	}
	if err := server.Shutdown(leaving); err != nil {
		return fault.New("stop endpoint", KindCut, err)
	}
	return nil
}
