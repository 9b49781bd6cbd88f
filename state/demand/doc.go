// Package demand holds what one caller's request asks for and what a runner said of it, apart from how either is encoded.
package demand
