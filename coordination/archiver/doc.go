// Package archiver stores the recorded answers of an endpoint process within a limit in bytes, so that entries can
// resume them. Above the limit it evicts the frames of finished answers, oldest first, and keeps the record that the
// answer existed until its retention ends.
package archiver
