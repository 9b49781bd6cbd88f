// Package caretaker puts the process beside a runner together: it leads the runner's group if the runner is its first
// rank, and passes the leader's orders on if not. It makes no decision of its own.
package caretaker
