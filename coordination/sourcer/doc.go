// Package sourcer chooses where an entry reads stored objects: from the copy of another entry while one is offered, so
// that the calls to the store do not grow with the entries, and from the store itself otherwise.
package sourcer
