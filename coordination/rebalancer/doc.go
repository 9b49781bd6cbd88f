// Package rebalancer plans which experts of a group are placed on which ranks. Plans depend on the current map, token
// counts and the time only; carrying out the moves is left to the caller.
package rebalancer
