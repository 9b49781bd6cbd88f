// Package wire holds the generated messages and twirp services between the system's own processes;
// nothing in it is written by hand but this file and the .proto file.
package wire
