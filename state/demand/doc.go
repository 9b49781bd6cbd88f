// Package demand holds the parameters of a caller's request, what a runner is told with it, and the metadata of the
// runner's reply as plain values, independent of the headers that carry them.
package demand
