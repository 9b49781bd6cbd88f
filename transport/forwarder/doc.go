// Package forwarder takes callers' requests and carries them to runners and the answers back;
// what to do next is always decided below it, and it never passes on a part of an answer as a whole.
package forwarder
