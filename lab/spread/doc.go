// Package spread measures the cost of the exchange between entries, and the time until a configuration is in force at
// every entry.
package spread
