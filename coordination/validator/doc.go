// Package validator checks a configuration before it is sent to the store: it finds what entries refuse, what can never match and
// limits that contradict each other, and it compares two versions by the effect on callers. It reads and prints nothing.
package validator
