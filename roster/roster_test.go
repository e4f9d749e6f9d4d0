package roster_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthsill/roster"
)

func TestRoster(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "roster")
}

func newMachine() *roster.Machine {
	m := &roster.Machine{Self: roster.NewMember("vm-0", "z0", "a:0", 1, roster.StateAlive), Limits: roster.DefaultLimits(), Seed: 1}
	list := []roster.Member{}
	for i := range 8 {
		list = append(list, roster.NewMember(fmt.Sprint("vm-", i), fmt.Sprint("z", i%3), fmt.Sprint("a:", i), 1, roster.StateAlive))
	}
	m.Step(0, roster.Listed{Members: list})
	return m
}

var _ = ginkgo.Describe("A machine", func() {
	ginkgo.It("ignores a lower version of a document", func() {
		m := newMachine()
		m.Step(time.Second, roster.VersionHeld{Document: "manifest", Version: 3})
		m.Step(time.Second, roster.VersionHeld{Document: "manifest", Version: 2, Confirmed: true})
		gomega.Expect(m.Version("manifest")).To(gomega.Equal(uint64(3)))
		gomega.Expect(m.Unconfirmed("manifest")).To(gomega.BeTrue())
	})

	ginkgo.It("announces a new version to its partners at once", func() {
		m := newMachine()
		sends := 0
		for _, a := range m.Step(time.Millisecond, roster.VersionHeld{Document: "manifest", Version: 3}) {
			if s, ok := a.(roster.Send); ok {
				gomega.Expect(s.Knowledge.Documents[0].Version).To(gomega.Equal(uint64(3)))
				sends++
			}
		}
		// The partners of a VM among eight are at distances of 1, 2 and 4.
		gomega.Expect(sends).To(gomega.Equal(3))
	})

	ginkgo.It("refutes a report of its own end with a higher incarnation", func() {
		m := newMachine()
		m.Step(time.Second, roster.Received{Knowledge: roster.Knowledge{
			From:    "vm-1",
			Members: []roster.Member{roster.NewMember("vm-0", "z0", "a:0", 1, roster.StateDead)},
		}})
		gomega.Expect(m.Self.Incarnation()).To(gomega.Equal(uint64(2)))
		gomega.Expect(m.VMs()).To(gomega.HaveLen(8))
	})
})
