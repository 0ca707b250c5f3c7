package listener

import "net"

// SetKeepAlive sets how connections are probed while nothing is sent, so that the
// requests of a client that can't be reached any more are cancelled. It must be
// called before Serve.
func (l *Listener) SetKeepAlive(config net.KeepAliveConfig) {
	l.socket = probedSocket{Listener: l.socket, config: config}
}

// probedSocket probes the connections that it accepts.
type probedSocket struct {
	net.Listener

	config net.KeepAliveConfig
}

// Accept implements net.Listener.
func (s probedSocket) Accept() (net.Conn, error) {
	conn, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetKeepAliveConfig(s.config) // Fails only for a connection that has ended.
	}
	return conn, nil
}
