package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases maps the name of a case to the function that plays it and returns its exit status.
var cases = map[string]func(w *world) int{
	"hangup": hangup, "silence": silence, "deadly": deadly, "keyless": keyless, "stale": stale,
}

// most is how long a case may last.
const most = 115 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "kit CASE FOLDER")
		os.Exit(impossible)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(one func(w *world) int, folder string) int {
	// A signal that is caught here has its default action in the entries, also where this program was started with SIGHUP ignored.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	w, err := newWorld(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return impossible
	}
	defer w.close()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	result := make(chan int, 1)
	go func() { result <- one(w) }()
	select {
	case status := <-result:
		w.record.say("exit status %d", status)
		fmt.Println("exit status", status)
		return status
	case <-ended:
	case <-time.After(most):
		w.record.say("the case took too long")
	}
	return impossible
}

// fail records why a case could not run.
func (w *world) fail(err error) int {
	w.record.say("the case could not run: %v", err)
	fmt.Fprintln(os.Stderr, err)
	return impossible
}
