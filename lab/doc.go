// Command lab runs experiments on the project's own code and prints the measurements.
// It is run from the source tree and not shipped.
package main
