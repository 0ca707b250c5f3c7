package historian

import (
	"crypto/sha256"

	"agatevalve/common/fault"
)

// MostSnapshotBytes caps a snapshot that comes from another entry, as it is
// packed.
const MostSnapshotBytes = 16 << 20

const snapshotRemedy = "look at the entry that sent it: replace it, or this one, so that both have one version"

// Snapshot is a whole configuration, packed to go from one entry to another.
type Snapshot struct {
	Revision uint64
	// Digest is that of the configuration, so that a damaged one is found.
	Digest [sha256.Size]byte
	// Value is that of a snapshot row.
	Value []byte
}

// NewSnapshot packs a configuration.
func NewSnapshot(c Configuration) Snapshot {
	return Snapshot{Revision: c.Revision, Digest: c.Digest(), Value: EncodeSnapshot(c)}
}

// Decode returns the configuration. It refuses a snapshot that is too large,
// malformed, or not what its digest says.
func (s Snapshot) Decode() (Configuration, error) {
	if len(s.Value) > MostSnapshotBytes {
		return Configuration{}, fault.New(fault.TooLarge, snapshotRemedy, "the snapshot exceeds %d bytes", MostSnapshotBytes)
	}
	data, err := unpack(s.Value)
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
