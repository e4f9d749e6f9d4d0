package main

import (
	"fmt"
	"runtime"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"amaranthsill/group"
	"amaranthsill/internal/world"
)

// measureMarginalCosts measures what each group costs on one VM: processor time
// and memory of the group's state machine, and the rate and size of status
// requests. It also measures the processor time for each request of a caller.
// The number of seeds, which other experiments take, is not used.
//
// In the table, a watched group is one whose primary this VM monitors. A group
// that is used and not watched is one whose primary only other VMs monitor. Both
// are measured without requests of callers.
func measureMarginalCosts(int) table {
	t := table{heading: []string{"what", "value", "unit"}}
	addRow := func(what, unit string, value float64) {
		t.rows = append(t.rows, []string{what, fmt.Sprintf("%.1f", value), unit})
	}
	addRow("status request and answer, without TCP and IP headers", "bytes", float64(statusExchangeBytes()))
	monitoring := idleCost(0, group.DefaultLimits())
	addRow("watched group, status requests of one VM", "per second", monitoring.statusRequests)
	addRow("watched group, decisions of one VM", "us of processor per second", monitoring.processor)
	addRow("used and not watched group, status requests of one VM", "per second", idleCost(-1, group.DefaultLimits()).statusRequests)
	addRow("machine of one group with three targets", "bytes", machineBytes())
	addRow("request under load, decisions", "us of processor", requestCost())
	return t
}

// statusExchangeBytes returns the size of one status request and its answer on
// the wire, without TCP and IP headers.
func statusExchangeBytes() int {
	status := group.NewStatus(12, group.RoleReplica, group.At(12, 1234567), group.At(12, 1234560), 40*time.Millisecond)
	b, err := (&pgproto3.Query{String: "select group_status()"}).Encode(nil)
	for _, m := range []pgproto3.BackendMessage{
		&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("value"), DataTypeOID: 25, DataTypeSize: -1, TypeModifier: -1}}},
		&pgproto3.DataRow{Values: [][]byte{[]byte(status.String())}},
		&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")},
		&pgproto3.ParameterStatus{Name: "group_status", Value: status.String() + " read 12.1234560"},
		&pgproto3.ReadyForQuery{TxStatus: 'I'},
	} {
		if err == nil {
			b, err = m.Encode(b)
		}
	}
	if err != nil {
		panic(fmt.Sprintf("experiment: encode status: %v", err))
	}
	return len(b)
}

// machineCost is the cost of one group's state machine without requests.
type machineCost struct {
	// statusRequests is their number a second.
	statusRequests float64
	// processor is the processor time in microseconds a second.
	processor float64
}

// idleCost runs one state machine for a minute of virtual time against healthy
// targets that answer at once. The rank is that of the VM among those that
// monitor the group's primary: 0 is the first of them, and a negative one means
// that the VM does not monitor it.
func idleCost(rank int, limits group.Limits) machineCost {
	const length = 60 * time.Second
	m := newMachine(rank)
	m.Limits = limits
	statusRequests := 0
	processorTime := time.Duration(0)
	for now := time.Duration(0); now < length; now = m.Next(now) {
		events := []group.Event{group.Ticked{}}
		for len(events) > 0 {
			begin := time.Now()
			actions := append([]group.Action{}, m.Step(now, events[0])...)
			processorTime += time.Since(begin)
			events = events[1:]
			for _, a := range actions {
				if q, ok := a.(group.RequestStatus); ok {
					statusRequests++
					events = append(events, group.StatusReceived{Target: q.Target, Number: q.Number, Status: healthyStatus(q.Target)})
				}
			}
		}
	}
	return machineCost{statusRequests: float64(statusRequests) / length.Seconds(), processor: float64(processorTime.Microseconds()) / length.Seconds()}
}

// newMachine returns the state machine of a group with three targets in three
// availability zones.
func newMachine(rank int) *group.Machine {
	m := &group.Machine{Name: "g", VM: "v", Zone: "z0", Rank: rank, Limits: group.DefaultLimits(), Seed: 1}
	for i := range 3 {
		m.Members = append(m.Members, group.Member{Name: fmt.Sprintf("t%d", i), Zone: fmt.Sprintf("z%d", i), Connections: 2})
	}
	return m
}

// healthyStatus returns the status of a target without replication lag; t0 is
// the primary.
func healthyStatus(target string) group.Status {
	role := group.RoleReplica
	if target == "t0" {
		role = group.RolePrimary
	}
	return group.NewStatus(1, role, group.At(1, 9), group.At(1, 9), 0)
}

// machineBytes returns the heap memory of one state machine, as the mean of
// 2000.
func machineBytes() float64 {
	const n = 2000
	before := heapInUse()
	machines := make([]*group.Machine, 0, n)
	for range n {
		m := newMachine(0)
		m.Step(0, group.Ticked{})
		machines = append(machines, m)
	}
	after := heapInUse()
	runtime.KeepAlive(machines)
	return float64(after-before) / n
}

// requestCost returns the processor time of the state machines for each request
// of a caller, in microseconds. It includes the handling of status requests.
func requestCost() float64 {
	const length = 60 * time.Second
	s := world.Cooperative()
	s.Sessions, s.Think = 120, 20*time.Millisecond
	w := &world.World{Scenario: s, Seed: 1, Clock: time.Now}
	w.Start()
	w.Run(length)
	h := w.History()
	return float64(w.StepTime().Microseconds()) / float64(h.Done+h.Refused+h.Unknown)
}
