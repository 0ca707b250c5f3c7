package claimer_test

import (
	"flag"
	"net/netip"
	"os"
	"testing"
	"time"

	"agatevalve/claimer"
	"agatevalve/common/task"
	"agatevalve/dispatcher"
)

// TestMain sets a fixed seed and more steps for the rapid tests, unless flags
// set them.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1") // A number is always valid.
	}
	if steps := flag.Lookup("rapid.steps"); steps.Value.String() == steps.DefValue {
		_ = flag.Set("rapid.steps", "200") // A number is always valid.
	}
	os.Exit(m.Run())
}

// epoch is the start of tests without a clock.
var epoch = time.Date(2026, 1, 2, 3, 4, 5, 6, time.UTC)

// claimOf returns a claim of an entry for a job, both given by their numbers.
func claimOf(entry, job int, token uint64, deadline time.Time) dispatcher.Claim {
	address := netip.MustParseAddrPort("10.0.0.1:7000")
	return dispatcher.Claim{
		Job:          task.JobID{byte(job), byte(job >> 8)},
		Team:         "reed-office",
		Digest:       task.Digest{1, 2, 3},
		Owner:        task.Process{Name: "entry-" + string(rune('a'+entry)), Incarnation: task.Incarnation(entry + 1)},
		OwnerAddress: address,
		Generation:   1,
		Token:        token,
		Deadline:     deadline,
		Agents: []dispatcher.Peer{
			{Process: task.Process{Name: "agent-1", Incarnation: 1 << 63}, Address: address},
			{Process: task.Process{Name: "agent-2", Incarnation: 7}, Address: netip.MustParseAddrPort("[fe80::1%eth0]:7000")},
		},
	}
}

// takeoverOf returns the command by which an entry takes over an old claim.
func takeoverOf(old dispatcher.Claim, entry int, token uint64, deadline time.Time) dispatcher.ReplaceClaim {
	claim := claimOf(entry, int(old.Job[0]), token, deadline)
	claim.Generation = old.Generation + 1
	return dispatcher.ReplaceClaim{Old: old, Claim: claim}
}

// smallLimits returns limits that short tests can exceed.
func smallLimits() claimer.Limits {
	limits := claimer.DefaultLimits()
	limits.Pending = 6
	limits.TransactionRows = 3
	return limits
}
