package commands

import (
	"net/netip"
	"time"

	"agatevalve/common/fault"
	"agatevalve/emulator"
)

// maxMinionSlots is the maximum of --slots.
const maxMinionSlots = 10_000

// MinionCommand runs a stand-in of a minion until it is interrupted.
type MinionCommand struct {
	Listen      netip.AddrPort `arg:"" help:"Address to listen on (IP number and port); an agent's setting minion names it."`
	Name        string         `help:"Name that stands in each response." default:"minion"`
	Slots       int            `help:"Most tasks that run at once." default:"8"`
	MeanService time.Duration  `help:"Mean time that a task takes, with its unit." default:"100ms"`
}

// Run serves requests until it is interrupted. Each answer echoes the request.
func (m *MinionCommand) Run() error {
	if m.Slots < 1 || m.Slots > maxMinionSlots {
		return fault.New(fault.Invalid, "use 1 to 10000", "--slots %d is out of range", m.Slots)
	}
	if m.MeanService <= 0 {
		return fault.New(fault.Invalid, "use a duration above 0s", "--mean-service %s is out of range", m.MeanService)
	}
	minion := emulator.NewMinion(emulator.MinionOptions{Name: m.Name, Slots: m.Slots, MeanService: m.MeanService})
	return standIn{logPrefix: "minion", listen: m.Listen, handler: minion}.run()
}
