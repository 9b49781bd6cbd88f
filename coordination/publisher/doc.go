// Package publisher publishes a change of the configuration, with its audit record, by one conditional write of the
// head to the platform's store. A change is refused unless the version that it is based on is still in force.
package publisher
