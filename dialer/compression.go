package dialer

import "connectrpc.com/connect"

// WithoutCompression disables the compression of requests and responses.
// Between these processes it costs more time than it saves.
func WithoutCompression() connect.ClientOption {
	return connect.WithAcceptCompression("gzip", nil, nil)
}
