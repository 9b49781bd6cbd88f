package caretaker

import (
	"context"
	"time"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/coordination/pauser"
	"github.com/kingcupstile/kingcupstile/state/routing"
	"github.com/kingcupstile/kingcupstile/state/runner"
)

const (
	// healthInterval is the time between two health checks of the own runner: short against the seconds for which runners are cold.
	// Each check costs money and takes a slot of the runner for a moment.
	healthInterval = time.Second
	// registrationInterval is the time between two readings of the registrations, and registrationReads how many follow on a start:
	// a runner that is back registers within about 2 s.
	registrationInterval = 2 * time.Second
	registrationReads    = 2
)

// watchCold keeps the book informed of how long the own runner stays cold, until ctx ends: by its answers to health checks, and by its
// registration, which is read when this process starts and when the runner answers again. Each reading is a call to the store.
func (c *Caretaker) watchCold(ctx context.Context) {
	health := c.deps.Health(c.settings.Engine)
	reads, nextRead, isDown, wasCold := registrationReads, time.Duration(0), false, false
	path := ""
	for {
		if now := c.deps.Clock.Now(); reads > 0 && now >= nextRead {
			if read, ok := c.readRegistration(ctx); ok {
				reads, path = reads-1, read
			}
			nextRead = now + registrationInterval
		}
		if path != "" {
			answered := c.checkHealth(ctx, health, path)
			if answered && isDown {
				reads = registrationReads
			}
			isDown = !answered
		}
		wasCold = c.logCold(wasCold)
		if !pauser.Wait(ctx, healthInterval) {
			return
		}
	}
}

// checkHealth asks the own runner for its health, and reports whether it answered.
func (c *Caretaker) checkHealth(ctx context.Context, health kingcupstile.HealthChecker, path string) bool {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := health.Check(call, path)
	if err != nil {
		c.log.Debug("health check of runner failed; what is known of it stays", "runner", c.settings.Engine, "error", err)
		return false
	}
	if reply.HasCold {
		c.book.RecordStatement(reply.Cold, c.deps.Clock.Now())
	}
	return true
}

// readRegistration reads the registration of the own runner, and returns the path of its health checks, and false if either cannot be
// read.
func (c *Caretaker) readRegistration(ctx context.Context) (healthPath string, ok bool) {
	call, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	tables, err := c.deps.Config.List(call)
	if err != nil || len(tables.Items) == 0 {
		c.log.Debug("configuration cannot be read; reading it again", "error", err)
		return "", false
	}
	runners, err := c.deps.Runners.List(call)
	if err != nil {
		c.log.Debug("registration of runner cannot be read; reading it again", "error", err)
		return "", false
	}
	c.recordRegistration(runners.Items)
	return c.healthPath(tables.Items[0]), true
}

// healthPath returns the path of health checks of the own runner's service, empty if the configuration names none.
func (c *Caretaker) healthPath(table routing.Table) string {
	s, _ := table.Service(c.settings.Service)
	return s.HealthPath()
}

// recordRegistration records when the own runner is warm by its registration.
func (c *Caretaker) recordRegistration(list []runner.Runner) {
	var own runner.Runner
	for _, r := range list {
		if r.Address() == c.settings.Engine && r.StartedAt() >= own.StartedAt() {
			own = r
		}
	}
	now := c.deps.Clock.Now()
	c.book.RecordRegistration(now + own.ColdLeft(now))
}

// logCold logs whether the own runner is cold if that has changed, and returns it.
func (c *Caretaker) logCold(wasCold bool) bool {
	left := c.book.Cold(c.deps.Clock.Now())
	isCold := left > 0
	if isCold != wasCold {
		c.log.Info("runner turns cold or warm; entries are told how long it stays cold, and how many requests it got",
			"runner", c.settings.Engine, "cold", isCold, "left", left)
	}
	return isCold
}
