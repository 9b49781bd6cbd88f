// Package sequencer decides which events of a numbered stream are forwarded when several runs may give the same ones: each number once and
// in order, wherever the numbers begin and by how much they rise.
package sequencer
