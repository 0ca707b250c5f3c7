package listener_test

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"agatevalve/listener"
)

func TestAcceptedConnectionsAreProbed(t *testing.T) {
	is := is.New(t)
	l, err := listener.Open("test", netip.MustParseAddrPort("127.0.0.1:0"))
	is.NoErr(err)
	l.SetKeepAlive(net.KeepAliveConfig{Enable: true, Idle: 3 * time.Second, Interval: 2 * time.Second, Count: 4})
	options := make(chan [4]int, 1)
	l.SetConnContext(func(ctx context.Context, conn net.Conn) context.Context {
		raw, err := conn.(*net.TCPConn).SyscallConn()
		if err != nil {
			t.Error(err)
			return ctx
		}
		var values [4]int
		_ = raw.Control(func(fd uintptr) {
			values[0], _ = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_KEEPALIVE)
			for i, option := range []int{unix.TCP_KEEPIDLE, unix.TCP_KEEPINTVL, unix.TCP_KEEPCNT} {
				values[i+1], _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option)
			}
		})
		options <- values
		return ctx
	})
	l.Serve(http.NotFoundHandler(), 16<<10, slog.New(slog.DiscardHandler))
	defer func() { _ = l.Stop(context.Background()) }()
	conn, err := net.Dial("tcp", l.Address().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	is.Equal(<-options, [4]int{1, 3, 2, 4})
}
