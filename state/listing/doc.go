// Package listing holds the result of reading all objects of one kind and of following their changes.
package listing
