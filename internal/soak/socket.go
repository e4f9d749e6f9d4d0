package soak

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// socketOf returns the name under which the files of a process show the established TCP
// socket with a local port; empty if there is none.
func socketOf(port int) string {
	text, err := os.ReadFile("/proc/self/net/tcp")
	if err != nil {
		return ""
	}
	suffix := fmt.Sprintf(":%04X", port)
	for line := range strings.Lines(string(text)) {
		// The fields are number, local address, remote address, state, two queues' sizes,
		// timer, retransmissions, user, timeout, inode.
		f := strings.Fields(line)
		if len(f) > 9 && strings.HasSuffix(f[1], suffix) && f[3] == establishedState {
			return "socket:[" + f[9] + "]"
		}
	}
	return ""
}

// establishedState is the state of an established connection in /proc/net/tcp.
const establishedState = "01"

// owns reports whether the VM's process has a file with this name open.
func (v *VM) owns(socket string) bool {
	v.lock.Lock()
	c := v.command
	v.lock.Unlock()
	if c == nil {
		return false
	}
	folder := "/proc/" + strconv.Itoa(c.Process.Pid) + "/fd/"
	files, err := os.ReadDir(folder)
	if err != nil {
		return false
	}
	for _, f := range files {
		if name, err := os.Readlink(folder + f.Name()); err == nil && name == socket {
			return true
		}
	}
	return false
}
