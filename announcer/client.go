package announcer

import (
	"connectrpc.com/connect"

	"agatevalve/dialer"
	"agatevalve/registrar"
	"agatevalve/wire/agatevalvev1/agatevalvev1connect"
)

// maxAnswerBytes caps the answer to an announcement.
const maxAnswerBytes = 64 << 10

// client keeps one connection to an entry. After a failure it makes another,
// because an open connection may have gone silent for good.
type client struct {
	entry registrar.Member
	// dialed is nil when there is no connection.
	dialed *dialer.Client
}

func (c *client) service() agatevalvev1connect.EntryServiceClient {
	if c.dialed == nil {
		c.dialed = dialer.New(dialer.Options{})
	}
	return agatevalvev1connect.NewEntryServiceClient(
		c.dialed, "http://"+c.entry.Address.String(), connect.WithReadMaxBytes(maxAnswerBytes),
	)
}

func (c *client) drop() {
	if c.dialed != nil {
		c.dialed.Close()
	}
	c.dialed = nil
}
