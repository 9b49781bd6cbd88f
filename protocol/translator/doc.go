// Package translator encodes values of the state layer as JSON documents and event identifiers, and decodes them.
// Callers decide whether a decoded value is put into force.
package translator
