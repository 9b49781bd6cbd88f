// Package normalizer rewrites JSON numbers that are whole into the form that decoders of integers take, as 90, 90.0 and 9e1 are the same
// number in JSON. It never changes a value.
package normalizer
