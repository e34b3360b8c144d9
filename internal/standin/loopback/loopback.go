// Package loopback gives tests network addresses that no other process uses.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
)

// ownIP returns a loopback IP address that belongs to this process ID alone. A port
// that is closed on it can't be taken by a listener of another process, nor by the
// near end of an outgoing connection, which the kernel binds to 127.0.0.1.
func ownIP() net.IP {
	pid := os.Getpid()
	return net.IPv4(127, byte(1+pid>>16), byte(pid>>8), byte(pid))
}

// Listen listens on a free port of the process's own loopback address.
func Listen() (net.Listener, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ownIP().String(), "0"))
	if err != nil {
		return nil, fmt.Errorf("listen on loopback: %w", err)
	}
	return listener, nil
}

// handedOut has the addresses that FreeAddresses returned. It keeps the function from
// returning an address again before its first user listens on it.
var handedOut sync.Map

// FreeAddresses returns n addresses of the form "IP:port" that were free when it was
// called. It returns no address twice, and other processes get other ones.
func FreeAddresses(n int) ([]string, error) {
	var addresses []string
	for len(addresses) < n {
		address, err := closedAddress()
		if err != nil {
			return nil, err
		}
		if _, again := handedOut.LoadOrStore(address, true); !again {
			addresses = append(addresses, address)
		}
	}
	return addresses, nil
}

// closedAddress returns the address of a listener that it has closed. Without the lock, a
// child process that starts meanwhile inherits the listener and accepts connections with
// it until its exec has ended.
func closedAddress() (string, error) {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	listener, err := Listen()
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}
