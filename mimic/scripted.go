package mimic

import (
	"context"
	"net"
	"net/netip"
	"sync"
)

// Scripted is an upstream that does with each of its connections what a function
// says, for answers that no sound server gives.
type Scripted struct {
	socket net.Listener
	serve  func(net.Conn)
	wait   sync.WaitGroup
}

// StartScripted listens on a port of this machine and calls a function for each
// connection, which is closed when the function returns.
func StartScripted(serve func(net.Conn)) (*Scripted, error) {
	socket, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Scripted{socket: socket, serve: serve}
	s.wait.Go(s.accept)
	return s, nil
}

// Address returns where it listens.
func (s *Scripted) Address() netip.AddrPort { return s.socket.Addr().(*net.TCPAddr).AddrPort() }

// Stop takes no more connections; those that are open go on.
func (s *Scripted) Stop() {
	_ = s.socket.Close()
	s.wait.Wait()
}

func (s *Scripted) accept() {
	for {
		connection, err := s.socket.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = connection.Close() }()
			s.serve(connection)
		}()
	}
}
