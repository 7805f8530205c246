package main

import (
	"fmt"
	"os"
	"time"
)

var cases = map[string]func(w *world, trouble bool) (broken string){
	"again": againCase, "flap": flapCase, "long": longCase, "takeover": takeoverCase, "fills": fillsCase,
}

func main() {
	f := cases[os.Args[1]]
	if f == nil {
		cannotRun("no such case")
	}
	w := newWorld()
	theWorld = w
	w.put("op/config", map[string]any{"version": 7, "routes": []map[string]any{
		{"name": "r-1", "host": host, "prefix": "/jobs/", "kind": "unsafe", "timeout_ms": 3000, "target_duration_ms": 1000, "priority": 1,
			"service": service, "max_attempts": 3, "slack_factor": 2.2}},
		"services": []map[string]any{{"name": service, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": false, "admission_check": false, "standby": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
	go func() { time.Sleep(115 * time.Second); cannotRun("the case takes too long") }()
	if broken := f(w, os.Getenv("TROUBLE") != "0"); broken != "" {
		w.note("BROKEN %s", broken)
		fmt.Println("broken:", broken)
		finish(1)
	}
	fmt.Println("held")
	finish(0)
}
