// Package lister selects the entries whose addresses a caller receives, their order and their lifetime. Entries that
// are leaving are excluded.
package lister
