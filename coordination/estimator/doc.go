// Package estimator estimates how long runners take, from the answers that they gave. It performs no I/O.
package estimator
