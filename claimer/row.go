package claimer

import (
	"encoding/binary"
	"encoding/hex"
	"net/netip"
	"time"

	"agatevalve/common/fault"
	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/tabler"
)

// The fields of a claim row in version 1 of the format are, in this order: the
// version byte, the deadline in Unix nanoseconds and the token, with 8 bytes
// each, the digest, the generation, the team, the owner's peer, the number of
// agents, and their peers. A peer is a name, an incarnation and an address.
// Numbers are unsigned varints and strings and addresses are preceded by their
// length, unless stated otherwise. Fixed-size integers are big-endian. An
// incarnation has 8 bytes because it is random. The job is only in the row's
// name.
const (
	rowVersion = 1
	// maxName bounds the names of teams and processes, in bytes.
	maxName = 255
	// maxAddress bounds an encoded address, in bytes; the longest are those with
	// an IPv6 zone.
	maxAddress = 64
	// maxAgents bounds the number of agents in one claim.
	maxAgents = 4096
)

// rowRemedy is the remedy of faults in stored rows: another version of the
// program may have written them.
const rowRemedy = "compare the versions of the entries"

// KeyOf returns the key of a job's claim row.
func KeyOf(job task.JobID) tabler.Key {
	return tabler.Key{Table: tabler.Claims, Row: job.String()}
}

// EncodeRow returns the value of a claim's row, or an error if the claim exceeds
// the limits of the format.
func EncodeRow(c dispatcher.Claim) ([]byte, error) {
	if err := validateClaim(c); err != nil {
		return nil, err
	}
	row := make([]byte, 0, 128+32*len(c.Agents))
	row = append(row, rowVersion)
	row = binary.BigEndian.AppendUint64(row, uint64(c.Deadline.UnixNano()))
	row = binary.BigEndian.AppendUint64(row, c.Token)
	row = append(row, c.Digest[:]...)
	row = binary.AppendUvarint(row, uint64(c.Generation))
	row = appendString(row, string(c.Team))
	row = appendPeer(row, dispatcher.Peer{Process: c.Owner, Address: c.OwnerAddress})
	row = binary.AppendUvarint(row, uint64(len(c.Agents)))
	for _, p := range c.Agents {
		row = appendPeer(row, p)
	}
	return row, nil
}

// DecodeRow is the inverse of EncodeRow.
func DecodeRow(row tabler.Row) (dispatcher.Claim, error) {
	var c dispatcher.Claim
	job, err := hex.DecodeString(row.Key.Row)
	if err != nil || len(job) != len(c.Job) || hex.EncodeToString(job) != row.Key.Row {
		return c, fault.New(fault.Invalid, rowRemedy, "claim row %q has a malformed name", row.Key.Row)
	}
	copy(c.Job[:], job)
	d := decoder{rest: row.Value}
	if version := d.bytes(1); d.failed || version[0] != rowVersion {
		return c, fault.New(fault.Invalid, rowRemedy, "claim row %s has an unknown version", row.Key.Row)
	}
	c.Deadline = time.Unix(0, int64(d.uint64())).UTC()
	c.Token = d.uint64()
	copy(c.Digest[:], d.bytes(len(c.Digest)))
	c.Generation = task.Generation(d.uvarint())
	c.Team = task.Team(d.string())
	owner := d.peer()
	c.Owner, c.OwnerAddress = owner.Process, owner.Address
	c.Agents = d.peers()
	if d.failed || len(d.rest) > 0 {
		return dispatcher.Claim{}, fault.New(fault.Invalid, rowRemedy, "claim row %s is malformed", row.Key.Row)
	}
	return c, nil
}

// validateClaim returns an error if DecodeRow could not restore the claim from
// its encoding.
func validateClaim(c dispatcher.Claim) error {
	names := []string{string(c.Team), c.Owner.Name}
	for _, p := range c.Agents {
		names = append(names, p.Process.Name)
	}
	for _, n := range names {
		if len(n) > maxName {
			return fault.New(fault.TooLarge, "use a shorter name", "a name of %d bytes exceeds %d", len(n), maxName)
		}
	}
	if len(c.Agents) > maxAgents {
		return fault.New(fault.TooLarge, "claim fewer agents", "%d agents exceed %d", len(c.Agents), maxAgents)
	}
	if !time.Unix(0, c.Deadline.UnixNano()).Equal(c.Deadline) {
		return fault.New(fault.Invalid, "set a deadline", "the claim has no valid deadline")
	}
	return nil
}

// appendString appends a string after its length.
func appendString(row []byte, s string) []byte {
	row = binary.AppendUvarint(row, uint64(len(s)))
	return append(row, s...)
}

// appendPeer appends a name, an incarnation and an address.
func appendPeer(row []byte, p dispatcher.Peer) []byte {
	row = appendString(row, p.Process.Name)
	row = binary.BigEndian.AppendUint64(row, uint64(p.Process.Incarnation))
	address, _ := p.Address.MarshalBinary() // MarshalBinary never returns an error.
	return appendString(row, string(address))
}

// decoder reads fields one after the other. After the first failure it returns
// zero values.
type decoder struct {
	// rest is the part of the value that hasn't been decoded yet.
	rest   []byte
	failed bool
}

// bytes returns the next n bytes.
func (d *decoder) bytes(n int) []byte {
	if d.failed || len(d.rest) < n {
		d.failed = true
		return make([]byte, n)
	}
	field := d.rest[:n]
	d.rest = d.rest[n:]
	return field
}

func (d *decoder) uint64() uint64 { return binary.BigEndian.Uint64(d.bytes(8)) }

func (d *decoder) uvarint() uint64 {
	n, size := binary.Uvarint(d.rest)
	if d.failed || size <= 0 {
		d.failed = true
		return 0
	}
	d.rest = d.rest[size:]
	return n
}

// length decodes a length. It fails, and returns 0, if that exceeds limit.
func (d *decoder) length(limit int) int {
	n := d.uvarint()
	if n > uint64(limit) {
		d.failed = true
		return 0
	}
	return int(n)
}

func (d *decoder) string() string { return string(d.bytes(d.length(maxName))) }

func (d *decoder) address() netip.AddrPort {
	var address netip.AddrPort
	encoded := d.bytes(d.length(maxAddress))
	if d.failed || address.UnmarshalBinary(encoded) != nil {
		d.failed = true
	}
	return address
}

func (d *decoder) peer() dispatcher.Peer {
	name := d.string()
	incarnation := task.Incarnation(d.uint64())
	return dispatcher.Peer{
		Process: task.Process{Name: name, Incarnation: incarnation},
		Address: d.address(),
	}
}

func (d *decoder) peers() []dispatcher.Peer {
	count := d.length(maxAgents)
	var peers []dispatcher.Peer
	for range count {
		if d.failed {
			return nil
		}
		peers = append(peers, d.peer())
	}
	return peers
}
