// Package invoker implements Engine: it calls an endpoint's runner over HTTP and splits the answer into frames.
// It sends an attempt that is not repeatable at most once.
package invoker
