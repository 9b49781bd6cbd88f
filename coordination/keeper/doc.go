// Package keeper is the control state machine of an endpoint process. For each attempt it decides whether to start,
// queue or refuse it, to let it follow the answer of an earlier one, or to guarantee that it never starts. It does no
// I/O: the traffic side carries out the effects that Step returns.
package keeper
