//go:build review

package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases holds the cases by number; each returns whether the rule was broken.
var cases = map[string]func(*world) (broken bool, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		os.Exit(exitFailed)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(number, folder string) int {
	w, err := newWorld(folder, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer w.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		w.close()
		os.Exit(exitFailed)
	}()
	broken, err := cases[number](w)
	switch {
	case err != nil:
		w.note("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return exitFailed
	case broken:
		w.note("the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	w.note("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
