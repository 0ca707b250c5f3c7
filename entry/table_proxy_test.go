package entry_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"

	"connectrpc.com/connect"

	"agatevalve/claimer"
	"agatevalve/connector/encoder"
	"agatevalve/registrar"
	"agatevalve/tabler"
	v1 "agatevalve/wire/agatevalvev1"
	"agatevalve/wire/agatevalvev1/agatevalvev1connect"
)

// tableProxy is a proxy of the table service for one process that edits the
// rows in commits and scans. With it a test can replace the address that a
// process publishes by that of a relay.
type tableProxy struct {
	s     *system
	store string
	edit  func(tabler.Row) ([]byte, error)
}

// interposeTableProxy replaces the store address in the settings of a process
// by that of a table proxy.
func (s *system) interposeTableProxy(settings string, edit func(tabler.Row) ([]byte, error)) {
	s.t.Helper()
	store := s.addresses["127.0.0.1:7000"]
	server := httptest.NewServer(&tableProxy{s: s, store: store, edit: edit})
	s.t.Cleanup(server.Close)
	path := filepath.Join(s.directory, settings)
	data, err := os.ReadFile(path)
	if err != nil {
		s.t.Fatal(err)
	}
	if !strings.Contains(string(data), store) {
		s.t.Fatalf("the settings %s don't contain the store address", settings)
	}
	data = bytes.ReplaceAll(data, []byte(store), []byte(server.Listener.Addr().String()))
	if err := os.WriteFile(path, data, fileMode); err != nil {
		s.t.Fatal(err)
	}
}

// ServeHTTP forwards a call. It aborts the connection when it did not get the
// whole request or reply.
func (f *tableProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == encoder.CommitPath {
		body = f.editWrites(body)
	}
	response, err := http.Post("http://"+f.store+r.URL.Path, r.Header.Get("Content-Type"), bytes.NewReader(body))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = response.Body.Close() }()
	reply, err := io.ReadAll(response.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == encoder.ScanPath && response.StatusCode == http.StatusOK {
		reply = f.editRows(reply)
	}
	w.Header().Set("Content-Type", response.Header.Get("Content-Type"))
	w.WriteHeader(response.StatusCode)
	_, _ = w.Write(reply) // The client detects a connection that was cut.
}

// editWrites edits the rows of a commit that are not deleted.
func (f *tableProxy) editWrites(body []byte) []byte {
	writes, err := encoder.DecodeCommit(body)
	f.check(err)
	for i, write := range writes {
		if !write.Delete {
			writes[i].Value, err = f.edit(tabler.Row{Key: write.Key, Value: write.Value})
			f.check(err)
		}
	}
	body, err = encoder.EncodeCommit(writes)
	f.check(err)
	return body
}

// editRows edits the rows that a scan returned.
func (f *tableProxy) editRows(body []byte) []byte {
	rows, err := encoder.DecodeRows(body)
	f.check(err)
	for i, row := range rows {
		rows[i].Value, err = f.edit(row)
		f.check(err)
	}
	body, err = encoder.EncodeRows(rows)
	f.check(err)
	return body
}

// check fails the test and aborts the connection on an error.
func (f *tableProxy) check(err error) {
	if err != nil {
		f.s.t.Error(err)
		panic(http.ErrAbortHandler)
	}
}

// relayAnswerFetches puts a relay between entry-1 and other entries that fetch
// answers from it as the owner of a job.
func (s *system) relayAnswerFetches() *relay {
	s.t.Helper()
	r := newRelay(s.t, s.internalAddress(0))
	address := netip.MustParseAddrPort(r.address())
	s.interposeTableProxy("entry-1.json", func(row tabler.Row) ([]byte, error) {
		if row.Key.Table != tabler.Claims {
			return row.Value, nil
		}
		claim, err := claimer.DecodeRow(row)
		if err != nil {
			return nil, err
		}
		claim.OwnerAddress = address
		return claimer.EncodeRow(claim)
	})
	return r
}

// announcementProxy forwards an agent's announcements to an entry, with the
// agent's address replaced.
type announcementProxy struct {
	agatevalvev1connect.UnimplementedEntryServiceHandler

	entry agatevalvev1connect.EntryServiceClient
	// agent is the address passed to the entry.
	agent string
}

// Announce implements agatevalvev1connect.EntryServiceHandler.
func (h *announcementProxy) Announce(ctx context.Context, request *connect.Request[v1.AnnounceRequest]) (*connect.Response[v1.AnnounceResponse], error) {
	request.Msg.Address = h.agent
	return h.entry.Announce(ctx, connect.NewRequest(request.Msg))
}

// relayAgentLinks puts a relay between agent-1 and each entry, and returns the
// relays in the order of the entries.
func (s *system) relayAgentLinks() []*relay {
	s.t.Helper()
	relays := make([]*relay, 2)
	proxies := make(map[string]netip.AddrPort)
	for i := range relays {
		relays[i] = newRelay(s.t, s.addresses["127.0.0.1:9010"])
		proxies[s.internalAddress(i)] = s.startAnnouncementProxy(s.internalAddress(i), relays[i].address())
	}
	s.interposeTableProxy("agent-1.json", func(row tabler.Row) ([]byte, error) {
		member, err := registrar.DecodeRow(row)
		if err != nil {
			return nil, err
		}
		member.Address = proxies[member.Address.String()]
		return registrar.EncodeRow(member), nil
	})
	return relays
}

// startAnnouncementProxy starts a proxy to the entry that announces the address
// of agent, and returns its own address.
func (s *system) startAnnouncementProxy(entry, agent string) netip.AddrPort {
	s.t.Helper()
	h := &announcementProxy{entry: agatevalvev1connect.NewEntryServiceClient(http.DefaultClient, "http://"+entry), agent: agent}
	mux := http.NewServeMux()
	mux.Handle(agatevalvev1connect.NewEntryServiceHandler(h))
	server := httptest.NewUnstartedServer(mux)
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	s.t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// internalAddress returns the address of an entry's listener for agents and
// entries.
func (s *system) internalAddress(number int) string {
	return s.addresses[fmt.Sprintf("127.0.0.1:80%d2", number+1)]
}
