// Command standin runs the scripts of the review: small stand-ins for the platform's
// store, servers, clients and operator around real processes of the system. It exits with
// 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// host is the host of all routes.
const host = "ficu95.example"

var (
	current  *deployment
	recorded struct {
		sync.Mutex
		file  *os.File
		start time.Time
	}
	cases = map[string]func(trouble bool) verdict{}
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD-FILE")
		os.Exit(2)
	}
	f, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	recorded.file, recorded.start = f, time.Now()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-signals
		fatal("interrupted")
	}()
	time.AfterFunc(115*time.Second, func() { fatal("the case took too long") })
	trouble := os.Getenv("TROUBLE") != "0"
	record("case", "%s, disruption: %t", os.Args[1], trouble)
	v := cases[os.Args[1]](trouble)
	current.close()
	word, code := "HELD", 0
	if v.broken {
		word, code = "BROKEN", 1
	}
	record("verdict", "%s: %s", word, v.text)
	fmt.Printf("%s: %s\n", word, v.text)
	os.Exit(code)
}

// record writes a line of what was sent, answered or run.
func record(what, format string, a ...any) {
	recorded.Lock()
	defer recorded.Unlock()
	fmt.Fprintf(recorded.file, "%8.3f %-9s %s\n", time.Since(recorded.start).Seconds(), what, fmt.Sprintf(format, a...))
}

// fatal ends the case because it cannot run.
func fatal(format string, a ...any) {
	text := fmt.Sprintf(format, a...)
	record("failed", "%s", text)
	fmt.Fprintln(os.Stderr, text)
	if current != nil {
		current.close()
	}
	os.Exit(2)
}
