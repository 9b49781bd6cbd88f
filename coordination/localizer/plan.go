package localizer

import "slices"

// Plan is where one request looks for room, as an immutable value. The zero value plans nothing.
type Plan struct {
	isOn bool
	home string
	// targets are the other data centres in which one runner each is probed, and leaves those to which the request may be sent.
	targets, leaves []string
}

// IsOn reports whether there is a plan.
func (p Plan) IsOn() bool { return p.isOn }

// Targets returns the other data centres to probe, once for each runner, which the caller must not change.
func (p Plan) Targets() []string { return p.targets }

// MayUse reports whether the request may be sent to a runner with room in a data centre.
func (p Plan) MayUse(centre string) bool {
	return centre == p.home || slices.Contains(p.leaves, centre)
}
