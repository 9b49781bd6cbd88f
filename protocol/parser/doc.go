// Package parser parses and validates settings, service and account files, which are JSON with comments.
// A file with any mistake is rejected as a whole, and the error lists every mistake with its line and column.
package parser
