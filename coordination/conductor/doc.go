// Package conductor coordinates how a rank group switches from one expert map to the next. The endpoint process beside
// rank 0 leads: it has every rank prepare the new map, has one rank hold a later step (the number of a forward pass),
// arms all ranks for that step and releases it. If the leader leaves a step held, another endpoint process of the
// group takes over and completes the switch or rolls it back. A step is released only once every rank was seen armed
// for the same version, or no rank can be armed for that step any more, so that all ranks use the same map in every
// pass. The package only decides: the caller of Step carries out its effects.
package conductor
