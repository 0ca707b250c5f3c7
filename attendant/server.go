package attendant

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"agatevalve/wire/agatevalvev1/agatevalvev1connect"
)

const (
	// headerReadTimeout bounds the transfer of a request header.
	headerReadTimeout = 5 * time.Second
	// maxMessageBytes caps one message from an entry.
	maxMessageBytes = 48 << 20
	// pingIdleTime is how long a connection may be silent before an HTTP/2 ping
	// is sent; pingTimeout bounds the wait for the acknowledgement.
	pingIdleTime = 5 * time.Second
	pingTimeout  = 5 * time.Second
	// maxStreams caps the concurrent calls of one connection.
	maxStreams = 256
	// idleTimeout closes connections without calls.
	idleTimeout = time.Minute
)

// rejectUnknownPath points clients that are not entries to an entry.
func rejectUnknownPath(w http.ResponseWriter, _ *http.Request) {
	http.Error(w, "this listener serves entries only; send requests and jobs to an entry", http.StatusNotFound)
}

// newServer returns the HTTP/2 server for entries.
func (a *Attendant) newServer() *http.Server {
	mux := http.NewServeMux()
	path, handler := agatevalvev1connect.NewAgentServiceHandler(a,
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithCompression("gzip", nil, nil), // Compression costs more time than it saves between machines of one site.
	)
	mux.Handle(path, withController(handler))
	mux.HandleFunc("/", rejectUnknownPath)
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           mux,
		Protocols:         protocols,
		ReadHeaderTimeout: headerReadTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          slog.NewLogLogger(a.options.Logger.Handler(), slog.LevelDebug),
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxStreams,
			SendPingTimeout:      pingIdleTime,
			PingTimeout:          pingTimeout,
			WriteByteTimeout:     pingIdleTime + pingTimeout,
		},
	}
}

// shutdown waits for calls to end, and cuts them when ctx ends.
func (a *Attendant) shutdown(ctx context.Context) {
	if err := a.server.Shutdown(ctx); err != nil {
		a.options.Logger.Warn("attendant: Calls were cut", "reason", err)
	}
	_ = a.server.Close() // The listener is closed already.
}

// controllerKey is the context key of the response controller.
type controllerKey struct{}

// withController stores the response controller in the context, so that the
// handler of a stream can set its deadlines.
func withController(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := context.WithValue(r.Context(), controllerKey{}, http.NewResponseController(w))
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// controllerFrom returns the response controller that withController stored.
func controllerFrom(ctx context.Context) *http.ResponseController {
	return ctx.Value(controllerKey{}).(*http.ResponseController)
}
