package main

import "time"

var cases = map[string]func(){"reborn": reborn}

// reborn: one replica receives nothing for a while. The other is cut off from the store and
// starts again without its log, and the primary goes dark meanwhile.
func reborn() {
	l := newLab(1, 6, nil)
	p, back, deaf := l.service.servers[0], l.service.servers[1], l.service.servers[2]
	begin, stop := time.Now(), make(chan struct{})
	go l.writer("a", 40*time.Millisecond, stop)
	go l.writer("b", 40*time.Millisecond, stop)
	l.after(begin, 12*time.Second)
	if l.trouble {
		l.note("TROUBLE: %s receives nothing", deaf.id)
		unlock := deaf.lock()
		deaf.deaf = true
		unlock()
		l.after(begin, 13*time.Second)
		l.note("TROUBLE: %s is cut off from the store and crashes", back.id)
		unlock = back.lock()
		back.cutStore = true
		unlock()
		back.crash()
		l.after(begin, 13300*time.Millisecond)
		l.note("TROUBLE: %s goes dark", p.id)
		p.setSilent(true)
		l.after(begin, 13800*time.Millisecond)
		back.start(false)
		l.note("TROUBLE: %s has started again without its log", back.id)
		l.after(begin, 18*time.Second)
		unlock = back.lock()
		back.cutStore = false
		unlock()
		l.note("TROUBLE: %s reaches the store again", back.id)
		l.after(begin, 19*time.Second)
		unlock = deaf.lock()
		deaf.deaf = false
		unlock()
		l.note("TROUBLE: %s receives again", deaf.id)
		l.after(begin, 20300*time.Millisecond)
		p.setSilent(false)
		l.note("TROUBLE: %s is back with its log", p.id)
	}
	l.after(begin, 30*time.Second)
	close(stop)
	l.finish()
}
