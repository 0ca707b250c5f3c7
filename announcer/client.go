package announcer

import (
	"connectrpc.com/connect"

	"agatevalve/dialer"
	"agatevalve/registrar"
	"agatevalve/wire/agatevalvev1/agatevalvev1connect"
)

// maxAnswerBytes limits the size of the response to an announcement.
const maxAnswerBytes = 64 << 10

// client keeps one connection to an entry. The connection is replaced after a
// failure, because an open connection may have stopped passing data for good.
type client struct {
	entry registrar.Member
	// http is nil if there is no connection.
	http *dialer.Client
}

// entryService returns a client of the entry's service. It connects at the
// first call.
func (c *client) entryService() agatevalvev1connect.EntryServiceClient {
	if c.http == nil {
		c.http = dialer.New(dialer.Options{})
	}
	return agatevalvev1connect.NewEntryServiceClient(
		c.http, "http://"+c.entry.Address.String(), connect.WithReadMaxBytes(maxAnswerBytes),
	)
}

// closeConnection closes the connection, if any. The next call makes a new one.
func (c *client) closeConnection() {
	if c.http != nil {
		c.http.Close()
	}
	c.http = nil
}
