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

var epoch = time.Date(2026, 1, 2, 3, 4, 5, 6, time.UTC)

// claimOf returns a claim by one of the entries, with its token.
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

// takeoverOf returns the claim that an entry takes another one over with.
func takeoverOf(old dispatcher.Claim, entry int, token uint64, deadline time.Time) dispatcher.ReplaceClaim {
	claim := claimOf(entry, int(old.Job[0]), token, deadline)
	claim.Generation = old.Generation + 1
	return dispatcher.ReplaceClaim{Old: old, Claim: claim}
}

// smallLimits make batches and queues overflow in short tests.
func smallLimits() claimer.Limits {
	limits := claimer.DefaultLimits()
	limits.Waiting = 6
	limits.Rows = 3
	return limits
}
