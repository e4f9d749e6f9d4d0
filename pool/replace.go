package pool

// ReplaceLinksTo does for one target what ReplaceLinks does for all. Connections to
// the group's other targets stay, except that those being opened are closed as soon
// as they are open.
func (g *Group) ReplaceLinksTo(target string) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.linkGeneration++
	for id, s := range g.servers {
		if id == target {
			for _, c := range s.idle {
				c.link.Close()
				s.open--
			}
			s.idle = nil
			continue
		}
		for _, c := range s.idle {
			c.generation = g.linkGeneration
		}
		for slot := range s.pending {
			if slot.conn.generation == g.linkGeneration-1 {
				slot.conn.generation = g.linkGeneration
			}
		}
	}
	g.dispatch()
}
