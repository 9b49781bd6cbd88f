// Package manifest holds a configuration as it was written: the values that entries use, with their positions in the file
// and with the members that entries do not read, so that findings can name the place.
package manifest
