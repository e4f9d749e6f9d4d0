package main

import (
	"fmt"
	"runtime"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"amaranthsill/group"
	"amaranthsill/internal/world"
)

// slopes measures what one VM spends for a group: the decisions' processor
// time, memory and status requests, and the bytes of one request.
func slopes(int) table {
	t := table{heading: []string{"what", "value", "unit"}}
	add := func(what, unit string, value float64) {
		t.rows = append(t.rows, []string{what, fmt.Sprintf("%.1f", value), unit})
	}
	add("status request and answer, without TCP and IP headers", "bytes", float64(askBytes()))
	watched := watchCost(0, group.DefaultLimits())
	add("watched group, status requests of one VM", "per second", watched.asks)
	add("watched group, decisions of one VM", "us of processor per second", watched.processor)
	add("used and not watched group, status requests of one VM", "per second", watchCost(-1, group.DefaultLimits()).asks)
	add("machine of one group with three targets", "bytes", machineBytes())
	add("request under load, decisions", "us of processor", requestCost())
	return t
}

// askBytes is the size of one status request and its answer.
func askBytes() int {
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

// cost is what one machine spends.
type cost struct {
	asks      float64
	processor float64
}

// watchCost runs one machine against targets that answer at once.
func watchCost(rank int, limits group.Limits) cost {
	const length = 60 * time.Second
	m := quietMachine(rank)
	m.Limits = limits
	asks := 0
	spent := time.Duration(0)
	for now := time.Duration(0); now < length; now = m.Next(now) {
		events := []group.Event{group.Ticked{}}
		for len(events) > 0 {
			begin := time.Now()
			actions := append([]group.Action{}, m.Step(now, events[0])...)
			spent += time.Since(begin)
			events = events[1:]
			for _, a := range actions {
				if q, ok := a.(group.Ask); ok {
					asks++
					events = append(events, group.Heard{Target: q.Target, Ask: q.Ask, Status: quietStatus(q.Target)})
				}
			}
		}
	}
	return cost{asks: float64(asks) / length.Seconds(), processor: float64(spent.Microseconds()) / length.Seconds()}
}

func quietMachine(rank int) *group.Machine {
	m := &group.Machine{Name: "g", VM: "v", Zone: "z0", Rank: rank, Limits: group.DefaultLimits(), Seed: 1}
	for i := range 3 {
		m.Members = append(m.Members, group.Member{Name: fmt.Sprintf("t%d", i), Zone: fmt.Sprintf("z%d", i), Connections: 2})
	}
	return m
}

func quietStatus(target string) group.Status {
	role := group.RoleReplica
	if target == "t0" {
		role = group.RolePrimary
	}
	return group.NewStatus(1, role, group.At(1, 9), group.At(1, 9), 0)
}

func machineBytes() float64 {
	const n = 2000
	before := heapInUse()
	machines := make([]*group.Machine, 0, n)
	for range n {
		m := quietMachine(0)
		m.Step(0, group.Ticked{})
		machines = append(machines, m)
	}
	after := heapInUse()
	runtime.KeepAlive(machines)
	return float64(after-before) / n
}

// requestCost is the decisions' processor time for each request that callers
// make, status requests and all.
func requestCost() float64 {
	const length = 60 * time.Second
	s := world.Cooperative()
	s.Sessions, s.Think = 120, 20*time.Millisecond
	w := &world.World{Shape: s, Seed: 1, Clock: time.Now}
	w.Start()
	w.Run(length)
	h := w.History()
	return float64(w.Spent().Microseconds()) / float64(h.Done+h.Refused+h.Unknown)
}
