package historian

import (
	"crypto/sha256"

	"agatevalve/common/fault"
)

// MaxSnapshotBytes is the maximum size of the encoded snapshot that another
// entry sends.
const MaxSnapshotBytes = 16 << 20

const snapshotRemedy = "look at the entry that sent it: replace it, or this one, so that both have one version"

// Snapshot is a whole configuration, encoded for the transfer from one entry to
// another.
type Snapshot struct {
	Revision uint64
	// Digest is the digest of the configuration, for detecting damage.
	Digest [sha256.Size]byte
	// Value is the configuration, encoded like the value of a snapshot row.
	Value []byte
}

// NewSnapshot encodes a configuration.
func NewSnapshot(c Configuration) Snapshot {
	return Snapshot{Revision: c.Revision, Digest: c.Digest(), Value: EncodeSnapshot(c)}
}

// Decode returns the configuration. It refuses a snapshot that is too large, is
// malformed, or doesn't match its digest.
func (s Snapshot) Decode() (Configuration, error) {
	if len(s.Value) > MaxSnapshotBytes {
		return Configuration{}, fault.New(fault.TooLarge, snapshotRemedy, "the snapshot exceeds %d bytes", MaxSnapshotBytes)
	}
	data, err := decompress(s.Value)
	if err != nil {
		return Configuration{}, fault.Wrap(err, fault.Invalid, snapshotRemedy, "the snapshot can't be unpacked")
	}
	c, err := DecodeConfiguration("snapshot", data)
	if err != nil {
		return Configuration{}, fault.Wrap(err, fault.Invalid, snapshotRemedy, "the snapshot can't be read")
	}
	c.Revision = s.Revision
	if c.Digest() != s.Digest {
		return Configuration{}, fault.New(fault.Invalid, snapshotRemedy, "the digest of the snapshot differs")
	}
	return c, nil
}
