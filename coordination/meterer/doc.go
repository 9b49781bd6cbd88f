// Package meterer estimates the load of a group's experts from ranks' reports, which may be late, duplicated or lost.
// It uses token counts only, not step times, so that a stalled rank is not mistaken for one that holds a hot expert.
package meterer
