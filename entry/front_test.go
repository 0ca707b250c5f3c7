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

// front stands before the table service for one process and edits the rows
// that pass, so that a relay can stand between two processes: each publishes
// the address that it listens on.
type front struct {
	s     *system
	store string
	edit  func(tabler.Row) ([]byte, error)
}

// stand gives a process a front in place of its store.
func (s *system) stand(settings string, edit func(tabler.Row) ([]byte, error)) {
	s.t.Helper()
	store := s.addresses["127.0.0.1:7000"]
	server := httptest.NewServer(&front{s: s, store: store, edit: edit})
	s.t.Cleanup(server.Close)
	path := filepath.Join(s.directory, settings)
	data, err := os.ReadFile(path)
	if err != nil {
		s.t.Fatal(err)
	}
	if !strings.Contains(string(data), store) {
		s.t.Fatalf("%s names no store", settings)
	}
	data = bytes.ReplaceAll(data, []byte(store), []byte(server.Listener.Addr().String()))
	if err := os.WriteFile(path, data, writeMode); err != nil {
		s.t.Fatal(err)
	}
}

// ServeHTTP passes a call on. One without a whole reply gets none.
func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
	_, _ = w.Write(reply) // The connection's end is the client's to notice.
}

func (f *front) editWrites(body []byte) []byte {
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

func (f *front) editRows(body []byte) []byte {
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

func (f *front) check(err error) {
	if err != nil {
		f.s.t.Error(err)
		panic(http.ErrAbortHandler)
	}
}

// relayOwner puts a relay between entry-1 and those who ask it for answers.
func (s *system) relayOwner() *relay {
	s.t.Helper()
	r := newRelay(s.t, s.internal(0))
	address := netip.MustParseAddrPort(r.address())
	s.stand("entry-1.json", func(row tabler.Row) ([]byte, error) {
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

// herald passes an agent's announcements on to an entry, with another address.
type herald struct {
	agatevalvev1connect.UnimplementedEntryServiceHandler

	entry agatevalvev1connect.EntryServiceClient
	// agent is the address that the entry is told.
	agent string
}

// Announce implements agatevalvev1connect.EntryServiceHandler.
func (h *herald) Announce(ctx context.Context, request *connect.Request[v1.AnnounceRequest]) (*connect.Response[v1.AnnounceResponse], error) {
	request.Msg.Address = h.agent
	return h.entry.Announce(ctx, connect.NewRequest(request.Msg))
}

// relayAgent puts a relay between agent-1 and each entry, and returns the
// relays in the order of the entries.
func (s *system) relayAgent() []*relay {
	s.t.Helper()
	relays := make([]*relay, 2)
	heralds := make(map[string]netip.AddrPort)
	for i := range relays {
		relays[i] = newRelay(s.t, s.addresses["127.0.0.1:9010"])
		heralds[s.internal(i)] = s.startHerald(s.internal(i), relays[i].address())
	}
	s.stand("agent-1.json", func(row tabler.Row) ([]byte, error) {
		member, err := registrar.DecodeRow(row)
		if err != nil {
			return nil, err
		}
		member.Address = heralds[member.Address.String()]
		return registrar.EncodeRow(member), nil
	})
	return relays
}

func (s *system) startHerald(entry, agent string) netip.AddrPort {
	s.t.Helper()
	h := &herald{entry: agatevalvev1connect.NewEntryServiceClient(http.DefaultClient, "http://"+entry), agent: agent}
	mux := http.NewServeMux()
	mux.Handle(agatevalvev1connect.NewEntryServiceHandler(h))
	server := httptest.NewUnstartedServer(mux)
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	s.t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// internal returns the address of an entry's listener for agents and entries.
func (s *system) internal(number int) string {
	return s.addresses[fmt.Sprintf("127.0.0.1:80%d2", number+1)]
}
