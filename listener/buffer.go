package listener

import (
	"bufio"
	"net"
)

// readBufferBytes is the size of the read buffer of a connection. Most messages are
// much smaller.
const readBufferBytes = 4 << 10

// BufferReads buffers what is read from the connections. The HTTP/2 server reads the
// header and the content of each frame separately, each with a system call. It must
// be called before Serve.
func (l *Listener) BufferReads() { l.socket = bufferedSocket{l.socket} }

// bufferedSocket buffers what is read from the connections that it accepts.
type bufferedSocket struct{ net.Listener }

// Accept implements net.Listener.
func (s bufferedSocket) Accept() (net.Conn, error) {
	conn, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &bufferedConn{Conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes)}, nil
}

// bufferedConn buffers what is read from a connection.
type bufferedConn struct {
	net.Conn

	reader *bufio.Reader
}

// Read implements net.Conn.
func (c *bufferedConn) Read(p []byte) (int, error) { return c.reader.Read(p) }
