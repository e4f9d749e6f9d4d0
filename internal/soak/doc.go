// Package soak runs entry VMs as separate processes before a stand-in of the
// platform, injects faults from outside them, and checks the users' promises by
// what callers and targets see. A seed decides the faults and their times.
//
// # Usage
//
//	go test ./internal/soak                              # the short run of CI
//	go test ./internal/soak -seeds 50 -first 1000        # fifty fresh seeds
//	go test ./internal/soak -seeds 1 -first 1007 -v      # one seed again
//
// A VM's log is kept beside the others of a seed that failed.
package soak
