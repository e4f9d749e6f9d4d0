package edge

// confirmation counts the VMs that confirm a leader record without the store. The
// record is confirmed once more than half of the VMs have agreed, this one included.
//
// A VM whose entry says that it is silent neither agrees nor counts. A VM that moves a
// leadership counts it as one that did not yield. Who knows that a VM is silent knows
// every record that was written before, and later ones are written with that known. So
// a record is never confirmed by more than half of the VMs while half of them have
// yielded to a newer one.
type confirmation struct {
	// awaited holds the VMs that have not agreed.
	awaited map[string]bool
	agreed  int
	// known is how many VMs this one knows, itself included, and unknown how many more
	// there may be.
	known, unknown int
	// thirds reports that a VM may be running whose build moves a leadership once a
	// third of the VMs have yielded, so that two thirds have to agree.
	thirds bool
}

// newConfirmation returns a confirmation to which only this VM has agreed.
func newConfirmation(others []recentPeer) *confirmation {
	c := &confirmation{awaited: map[string]bool{}, agreed: 1, known: len(others) + 1}
	silence := true
	for _, p := range others {
		c.thirds = c.thirds || !p.Majority
		silence = silence && p.Silence
	}
	for _, p := range others {
		if !p.unheard || !silence {
			c.awaited[p.Name] = true
		}
	}
	return c
}

// expect makes the confirmation count VMs that this one does not know, if there may be as
// many VMs in all.
func (c *confirmation) expect(vms int) { c.unknown = max(vms-c.known, 0) }

// agree records that a VM agrees.
func (c *confirmation) agree(name string) {
	if c.awaited[name] {
		delete(c.awaited, name)
		c.agreed++
	}
}

// enough reports whether the record is confirmed.
func (c *confirmation) enough() bool {
	vms := c.agreed + len(c.awaited) + c.unknown
	if c.thirds {
		return 3*c.agreed > 2*vms
	}
	return 2*c.agreed > vms
}
