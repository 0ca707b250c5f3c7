package soaker

import "time"

// refuseConnections leaves the port of a minion without a listener, while the minion
// and its runs go on.
func refuseConnections(h *harness, _ time.Duration) (string, func()) {
	a := h.agents[h.faultRandom.IntN(len(h.agents))]
	a.proxy.refuse()
	return a.vm.Node, a.listenAgain
}

// listenAgain ends a refusal of connections to the minion.
func (a *agent) listenAgain() {
	if err := a.proxy.listenAgain(); err != nil {
		a.harness.checker.addViolation("proxy: %s: %v", a.vm.Node, err)
	}
}
