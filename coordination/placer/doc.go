// Package placer chooses the runner for a request by the work that is open on each and by how it answered lately;
// it never reads or sends anything.
package placer
