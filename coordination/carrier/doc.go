// Package carrier carries out the effects of an entry's spreader through the platform and the other entries, reports
// the outcomes to it as events, and answers the other entries' calls. Each call runs on a goroutine of its own, so that
// the control goroutine is not blocked.
package carrier
