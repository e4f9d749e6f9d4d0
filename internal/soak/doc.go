// Package soak is a randomized fault-injection test of entry VMs. It runs them as
// separate processes in front of a simulated platform, injects faults from outside
// the processes, and checks the guarantees to callers by comparing what callers were
// answered with what the targets ran. A seed determines the faults and their order.
//
// # Usage
//
//	go test ./internal/soak                              # the seeds of CI
//	go test ./internal/soak -seeds 50 -first 1000        # 50 new seeds
//	go test ./internal/soak -seeds 1 -first 1007 -v      # repeat one seed
//	go test ./internal/soak -seeds 5 -incident -length 24s
//	go test ./internal/soak -seeds 3 -stutter -calm      # answers sent twice, and no other fault
//	go test ./internal/soak -seeds 5 -stutter -hostile   # with all other faults
//
// With -stutter, targets send one answer in 25 a second time, 1 to 400 ms later. With
// -hostile, callers put bytes such as a lone LF into data, shapes and settings. With both,
// callers use prepared statements and pause within transactions.
//
// With -incident, eight VMs in three zones serve three groups whose promotions take
// -promotion, a second by default, after a call that is answered at once. Nodes are cut
// off from one another, and a primary that is cut off goes on until a second after it
// reaches the new one.
//
// The logs and settings of all VMs are kept for each seed that failed.
package soak
