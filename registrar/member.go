// Package registrar keeps the membership of entries in the platform's table,
// one row per run of an entry. A row says when it expires, so that an entry
// that died is forgotten without anybody's help.
package registrar

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"agatevalve/common/fault"
	"agatevalve/common/task"
	"agatevalve/tabler"
)

const rowRemedy = "compare the versions of the entries"

// Member is one run of an entry.
type Member struct {
	Process task.Process
	// Address is the entry's listener for agents and other entries.
	Address netip.AddrPort
	// Zone is the availability zone of the entry.
	Zone string
	// Revision is the configuration revision in force at the entry.
	Revision uint64
	// Expires is when the member is forgotten unless it renews.
	Expires time.Time
}

// List returns all registered members, the expired ones included. Rows that
// can't be read are left out, because a newer version may have written them.
func List(ctx context.Context, table tabler.Table) ([]Member, error) {
	rows, err := table.Scan(ctx, tabler.Entries, "")
	if err != nil {
		return nil, err
	}
	members := make([]Member, 0, len(rows))
	for _, r := range rows {
		member, err := DecodeRow(r)
		if err != nil {
			continue
		}
		members = append(members, member)
	}
	return members, nil
}

// Live returns the members that haven't expired.
func Live(members []Member, now time.Time) []Member {
	live := make([]Member, 0, len(members))
	for _, m := range members {
		if now.Before(m.Expires) {
			live = append(live, m)
		}
	}
	return live
}

// KeyOf returns the key of a member's row. Each run has its own row, so that
// the row of a process can't be overwritten by one that woke up after it was
// replaced.
func KeyOf(p task.Process) tabler.Key {
	row := fmt.Sprintf("%s/%016x", p.Name, uint64(p.Incarnation))
	return tabler.Key{Table: tabler.Entries, Row: row}
}

type wireMember struct {
	Name        string    `json:"name"`
	Incarnation uint64    `json:"incarnation"`
	Address     string    `json:"address"`
	Zone        string    `json:"zone"`
	Revision    uint64    `json:"revision"`
	Expires     time.Time `json:"expires"`
}

// EncodeRow returns the value of a member's row.
func EncodeRow(m Member) []byte {
	value, _ := json.Marshal(wireMember{ // Only years past 9999 fail to marshal.
		Name:        m.Process.Name,
		Incarnation: uint64(m.Process.Incarnation),
		Address:     m.Address.String(),
		Zone:        m.Zone,
		Revision:    m.Revision,
		Expires:     m.Expires.UTC(),
	})
	return value
}

// DecodeRow is the inverse of EncodeRow. It refuses a row whose name isn't its
// member's.
func DecodeRow(row tabler.Row) (Member, error) {
	var wire wireMember
	if err := json.Unmarshal(row.Value, &wire); err != nil {
		return Member{}, fault.Wrap(err, fault.Invalid, rowRemedy, "entry row %q is malformed", row.Key.Row)
	}
	address, err := netip.ParseAddrPort(wire.Address)
	if err != nil {
		return Member{}, fault.Wrap(err, fault.Invalid, rowRemedy, "entry row %q has a malformed address", row.Key.Row)
	}
	member := Member{
		Process:  task.Process{Name: wire.Name, Incarnation: task.Incarnation(wire.Incarnation)},
		Address:  address,
		Zone:     wire.Zone,
		Revision: wire.Revision,
		Expires:  wire.Expires,
	}
	if member.Process.Incarnation == 0 || KeyOf(member.Process) != row.Key {
		return Member{}, fault.New(fault.Invalid, rowRemedy, "entry row %q belongs to another process", row.Key.Row)
	}
	return member, nil
}
