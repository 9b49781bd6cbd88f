// Package leveler plans which ranks hold which experts, so that no rank's load is far above the mean. A plan weighs
// the lower skew against the copies it takes; package conductor carries it out.
package leveler
