// Package logger provides a process's structured JSON logger and a bounded queue that writes its lines without blocking
// the caller. It redacts nothing, so callers must not log payloads, keys or other secrets.
package logger
