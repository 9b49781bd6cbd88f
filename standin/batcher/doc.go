// Package batcher is a discrete-event model of a model runner, for simulations: continuous batching with chunked
// prefill, priority queueing, and a prefix cache in limited memory. The caller supplies the time; the model is
// deterministic, never sleeps, and is not safe for concurrent use.
package batcher
