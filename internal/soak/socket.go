package soak

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"syscall"
)

// The kernel's interface for asking for one socket, from linux/sock_diag.h and
// linux/inet_diag.h.
const (
	diagnosisFamily = 4  // NETLINK_SOCK_DIAG
	diagnosisByKind = 20 // SOCK_DIAG_BY_FAMILY
	headerBytes     = 16 // struct nlmsghdr
	requestBytes    = 56 // struct inet_diag_req_v2
	inodeOffset     = headerBytes + 68
)

var errNoSocket = errors.New("there is no such socket")

// socketOf returns the name under which the files of a process show the established TCP
// socket with these local and remote addresses. It asks for that socket alone: the list of
// all sockets of the machine is long where much runs beside the soak, and reading it for
// each connection took most of the time of the simulated servers.
func socketOf(local, remote *net.TCPAddr) (string, error) {
	s, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_RAW|syscall.SOCK_CLOEXEC, diagnosisFamily)
	if err != nil {
		return "", fmt.Errorf("open socket for diagnosis: %w", err)
	}
	defer func() { _ = syscall.Close(s) }()
	if err := syscall.Sendto(s, socketRequest(local, remote), 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}); err != nil {
		return "", fmt.Errorf("ask for a socket: %w", err)
	}
	answer := make([]byte, 1024)
	n, _, err := syscall.Recvfrom(s, answer, 0)
	if err != nil {
		return "", fmt.Errorf("read answer on a socket: %w", err)
	}
	if n < inodeOffset+4 || binary.NativeEndian.Uint16(answer[4:]) != diagnosisByKind {
		return "", errNoSocket
	}
	return "socket:[" + strconv.FormatUint(uint64(binary.NativeEndian.Uint32(answer[inodeOffset:])), 10) + "]", nil
}

// socketRequest returns the message that asks for a socket.
func socketRequest(local, remote *net.TCPAddr) []byte {
	m := make([]byte, headerBytes+requestBytes)
	binary.NativeEndian.PutUint32(m, uint32(len(m)))
	binary.NativeEndian.PutUint16(m[4:], diagnosisByKind)
	binary.NativeEndian.PutUint16(m[6:], syscall.NLM_F_REQUEST)
	q := m[headerBytes:]
	q[0], q[1] = syscall.AF_INET, syscall.IPPROTO_TCP
	binary.NativeEndian.PutUint32(q[4:], ^uint32(0)) // in whatever state
	binary.BigEndian.PutUint16(q[8:], uint16(local.Port))
	binary.BigEndian.PutUint16(q[10:], uint16(remote.Port))
	copy(q[12:], local.IP.To4())
	copy(q[28:], remote.IP.To4())
	binary.NativeEndian.PutUint32(q[48:], ^uint32(0)) // without a cookie
	binary.NativeEndian.PutUint32(q[52:], ^uint32(0))
	return m
}

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
