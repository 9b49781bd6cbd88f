// Package conductor decides how a rank group goes from one expert map to the next at one step: it has a map prepared
// on all ranks, holds a later step on the first rank, has all ranks armed for that step and releases it. It never
// releases a step unless every rank was seen armed alike, and never gives an order itself.
package conductor
