// Package registrar maintains the membership list of entries in the platform's
// table service, with one row per run of an entry. Each row has an expiry time
// that its entry keeps renewing, so that the row of an entry that crashed
// expires by itself.
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

// rowRemedy is the remedy of faults in stored rows: another version of the
// program may have written them.
const rowRemedy = "compare the versions of the entries"

// Member is the registration of one run of an entry.
type Member struct {
	Process task.Process
	// Address is the address on which the entry listens for agents and other
	// entries.
	Address netip.AddrPort
	// Zone is the availability zone of the entry.
	Zone string
	// Revision is the configuration revision in force at the entry.
	Revision uint64
	// Expires is the time at which the registration expires unless renewed.
	Expires time.Time
}

// maxExpiryAhead is the longest time from now to the expiry of a live member, far
// above any TTL and any difference between clocks.
const maxExpiryAhead = 24 * time.Hour

// List returns all registered members, including expired ones. It skips rows
// that can't be decoded, because a newer version may have written them.
func List(ctx context.Context, table tabler.Table) ([]Member, error) {
	members, _, err := list(ctx, table)
	return members, err
}

// list returns all registered members, and the faults of the rows that it skips.
func list(ctx context.Context, table tabler.Table) ([]Member, []error, error) {
	rows, err := table.Scan(ctx, tabler.Entries, "")
	if err != nil {
		return nil, nil, err
	}
	var malformed []error
	members := make([]Member, 0, len(rows))
	for _, r := range rows {
		member, err := DecodeRow(r)
		if err != nil {
			malformed = append(malformed, err)
			continue
		}
		members = append(members, member)
	}
	return members, malformed, nil
}

// isLive reports whether the member hasn't expired at the time now. One that expires
// later than any entry writes is not live either, as it would be for good.
func (m Member) isLive(now time.Time) bool {
	return now.Before(m.Expires) && m.Expires.Sub(now) <= maxExpiryAhead
}

// Live returns the members that haven't expired at the time now.
func Live(members []Member, now time.Time) []Member {
	live := make([]Member, 0, len(members))
	for _, m := range members {
		if m.isLive(now) {
			live = append(live, m)
		}
	}
	return live
}

// KeyOf returns the key of a member's row. Each run has its own row, so that a
// process that resumes after it was replaced can't overwrite the row of its
// replacement.
func KeyOf(p task.Process) tabler.Key {
	row := fmt.Sprintf("%s/%016x", p.Name, uint64(p.Incarnation))
	return tabler.Key{Table: tabler.Entries, Row: row}
}

// memberJSON is the stored form of a Member.
type memberJSON struct {
	Name        string    `json:"name"`
	Incarnation uint64    `json:"incarnation"`
	Address     string    `json:"address"`
	Zone        string    `json:"zone"`
	Revision    uint64    `json:"revision"`
	Expires     time.Time `json:"expires"`
}

// EncodeRow returns the value of a member's row.
func EncodeRow(m Member) []byte {
	value, _ := json.Marshal(memberJSON{ // Marshalling fails only for years after 9999.
		Name:        m.Process.Name,
		Incarnation: uint64(m.Process.Incarnation),
		Address:     m.Address.String(),
		Zone:        m.Zone,
		Revision:    m.Revision,
		Expires:     m.Expires.UTC(),
	})
	return value
}

// DecodeRow is the inverse of EncodeRow. It returns an error if the row's name
// doesn't match the member that the row holds.
func DecodeRow(row tabler.Row) (Member, error) {
	var decoded memberJSON
	if err := json.Unmarshal(row.Value, &decoded); err != nil {
		return Member{}, fault.Wrap(err, fault.Invalid, rowRemedy, "entry row %q is malformed", row.Key.Row)
	}
	address, err := netip.ParseAddrPort(decoded.Address)
	if err != nil {
		return Member{}, fault.Wrap(err, fault.Invalid, rowRemedy, "entry row %q has a malformed address", row.Key.Row)
	}
	member := Member{
		Process:  task.Process{Name: decoded.Name, Incarnation: task.Incarnation(decoded.Incarnation)},
		Address:  address,
		Zone:     decoded.Zone,
		Revision: decoded.Revision,
		Expires:  decoded.Expires,
	}
	if member.Process.Incarnation == 0 || KeyOf(member.Process) != row.Key {
		return Member{}, fault.New(fault.Invalid, rowRemedy, "entry row %q belongs to another process", row.Key.Row)
	}
	return member, nil
}
