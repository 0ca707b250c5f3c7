package dialer

import "connectrpc.com/connect"

// Plain disables the compression of requests and responses. Between these
// processes it costs more time than it saves.
func Plain() connect.ClientOption { return connect.WithAcceptCompression("gzip", nil, nil) }
