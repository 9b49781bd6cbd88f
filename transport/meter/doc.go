// Package meter is a tally reporter that keeps the latest values of a process's metrics in memory and serves them as a
// plain-text page for a scraper; it pushes them nowhere.
package meter
