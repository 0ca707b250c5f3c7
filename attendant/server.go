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
	// headerWithin bounds the header of one call.
	headerWithin = 5 * time.Second
	// maxMessageBytes caps one message from an entry.
	maxMessageBytes = 48 << 20
	// pingAfter is how long a connection from an entry may be silent before it
	// is probed; pongWithin bounds the wait for the answer.
	pingAfter  = 5 * time.Second
	pongWithin = 5 * time.Second
	// maxStreams caps the calls of one connection.
	maxStreams = 256
	// idleConnections end after idleWithin.
	idleWithin = time.Minute
)

// refuseStranger tells a caller who came to an agent that it serves entries.
func refuseStranger(w http.ResponseWriter, _ *http.Request) {
	http.Error(w, "this listener serves entries only; send requests and jobs to an entry", http.StatusNotFound)
}

func (a *Attendant) newServer() *http.Server {
	mux := http.NewServeMux()
	path, handler := agatevalvev1connect.NewAgentServiceHandler(a,
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithCompression("gzip", nil, nil), // Costs more time than it saves between machines of one site.
	)
	mux.Handle(path, withController(handler))
	mux.HandleFunc("/", refuseStranger)
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           mux,
		Protocols:         protocols,
		ReadHeaderTimeout: headerWithin,
		IdleTimeout:       idleWithin,
		ErrorLog:          slog.NewLogLogger(a.o.Logger.Handler(), slog.LevelDebug),
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxStreams,
			SendPingTimeout:      pingAfter,
			PingTimeout:          pongWithin,
			WriteByteTimeout:     pingAfter + pongWithin,
		},
	}
}

// shutdown waits for calls to end, and cuts them at the end of ctx.
func (a *Attendant) shutdown(ctx context.Context) {
	if err := a.server.Shutdown(ctx); err != nil {
		a.o.Logger.Warn("attendant: Calls were cut", "reason", err)
	}
	_ = a.server.Close() // The listener is closed already.
}

type controllerKey struct{}

// withController lets a stream set its own deadlines.
func withController(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := context.WithValue(r.Context(), controllerKey{}, http.NewResponseController(w))
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

func controllerOf(ctx context.Context) *http.ResponseController {
	return ctx.Value(controllerKey{}).(*http.ResponseController)
}
