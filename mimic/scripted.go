package mimic

import (
	"context"
	"net"
	"net/netip"
	"sync"
)

// Scripted is an upstream whose connections are served by a function. It produces
// responses that no correct server sends.
type Scripted struct {
	socket net.Listener
	serve  func(net.Conn)
	wait   sync.WaitGroup
}

// StartScripted listens on a loopback port and calls serve for each connection,
// which is closed when serve returns.
func StartScripted(serve func(net.Conn)) (*Scripted, error) {
	socket, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Scripted{socket: socket, serve: serve}
	s.wait.Go(s.accept)
	return s, nil
}

// Address returns the listen address.
func (s *Scripted) Address() netip.AddrPort { return s.socket.Addr().(*net.TCPAddr).AddrPort() }

// Stop stops accepting connections; open ones continue.
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
