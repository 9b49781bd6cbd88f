// Package caretaker runs the process beside a runner, its sidecar. It serves the runner's rank to the other sidecars of
// the group, and feeds the control state of package conductor, which leads the group if the runner is the first rank
// and otherwise takes over only to complete a step that the leader left held. All decisions are made there.
package caretaker
