// Package budgeter bounds what a process keeps of the bytes that others send, over all requests together. Requests that keep no more
// than 64 KiB have a budget of their own, so that those of the usual size are admitted beside any number of large ones.
package budgeter
