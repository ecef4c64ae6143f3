// Command standins plays the cases of a review: it starts the daemons as separate processes with stand-ins of the platform, of
// servers and of consumers. It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// play runs a case and reports whether the rule was broken.
type play func(w *World, trouble bool) (broken bool, err error)

var plays = map[string]play{}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE RECORD")
		return 2
	}
	record, err := OpenRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	w, err := NewWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.Close()
	broken, err := plays[os.Args[1]](w, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		record.Printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case broken:
		record.Printf("the rule was broken")
		fmt.Println("broken")
		return 1
	}
	record.Printf("the rule held")
	fmt.Println("held")
	return 0
}
