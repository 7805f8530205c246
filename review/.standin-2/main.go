// Command bed plays the cases of the second review: it starts fenneljobd processes with a stand-in of the platform, its
// minions and its clients, and checks one rule by what these see.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"time"
)

func main() {
	runtime.LockOSThread() // the daemons end with the thread that started them
	name := flag.String("case", "", "the case to play")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	binary := flag.String("daemon", "target/fenneljobd", "the daemon's program")
	flag.Parse()
	trouble := os.Getenv("TROUBLE") != "0"
	f := cases[*name]
	if f == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	time.AfterFunc(115*time.Second, func() {
		fmt.Println("cannot run: it takes too long")
		os.Exit(2) // the daemons end with this process
	})
	f(*binary, *record, trouble)
}

var cases = map[string]func(binary, record string, trouble bool){}
