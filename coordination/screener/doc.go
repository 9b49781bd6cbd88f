// Package screener decides which endpoints of a pool get new work, from the endpoints' reports, the VM list, operators'
// drains and missed heartbeats. Signals that may be false alarms take at most half of the endpoints out of use that
// would be ready otherwise, so that a faulty VM list or network can't empty the pool.
package screener
