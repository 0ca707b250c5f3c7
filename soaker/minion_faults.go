package soaker

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"agatevalve/emulator"
	"agatevalve/platform/imitator"
)

const (
	// unansweredShare is the share of the requests to a minion that get no answer.
	unansweredShare = 0.4
	// lateShare is the share of these that are carried out late, by up to maxLateness.
	// The others are carried out at once.
	lateShare   = 0.5
	maxLateness = 6 * time.Second
	// minRestartPause and maxRestartPause limit the time between a crash and the
	// restart under the same name.
	minRestartPause = 2 * time.Millisecond
	maxRestartPause = 800 * time.Millisecond
	// maxEndDelay limits the time from the departure of a minion to its end, and
	// maxReplacementPause that from its end to the start of the next one.
	maxEndDelay         = 300 * time.Millisecond
	maxReplacementPause = time.Second
	// departureTimeout is the time within which the agent answers a departure, or the
	// minion goes on without an answer.
	departureTimeout = time.Second
)

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

// loseAnswers leaves a share of the requests to a minion unanswered. The minion is
// disturbed until the last of them may have been carried out.
func loseAnswers(h *harness, duration time.Duration) (string, func()) {
	a := h.drawEmulated()
	a.markDisturbed(duration + maxLateness)
	change := func(by int) {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.unanswered += by
	}
	change(1)
	return a.vm.Node, func() { change(-1) }
}

// drawAnswer draws whether a request is answered, and if not, how late it is carried
// out.
func (a *agent) drawAnswer() (answered bool, lateness time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.unanswered == 0 || a.answerRandom.Float64() >= unansweredShare {
		return true, 0
	}
	if a.answerRandom.Float64() < lateShare {
		lateness = time.Duration(a.answerRandom.Int64N(int64(maxLateness)))
	}
	return false, lateness
}

// leaveUnanswered lets a minion carry out a request some time later, and waits until
// the client gives up. The request is lost with the minion that received it.
func (a *agent) leaveUnanswered(minion *imitator.Minion, r *http.Request, lateness time.Duration) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	late := r.Clone(context.WithoutCancel(r.Context()))
	late.Body = io.NopCloser(bytes.NewReader(body))
	time.AfterFunc(lateness, func() {
		if a.harness.ctx.Err() == nil {
			minion.CarryOut(late)
		}
	})
	<-r.Context().Done()
}

// restartUnderName crashes a minion, and starts its next incarnation under the same
// name.
func restartUnderName(h *harness, _ time.Duration) (string, func()) {
	a := h.drawEmulated()
	pause := minRestartPause + time.Duration(h.faultRandom.Int64N(int64(maxRestartPause-minRestartPause)))
	a.mu.Lock()
	minion := a.minion
	a.mu.Unlock()
	a.markDisturbed(pause)
	a.endMinion(minion, pause, true)
	return a.vm.Node, nil
}

// removeMinion drains a minion. At the end of the fault the minion announces its
// departure, and it ends some time after that. Its runs go on until then. A minion
// under another name follows.
func removeMinion(h *harness, duration time.Duration) (string, func()) {
	a := h.drawEmulated()
	endDelay := time.Duration(h.faultRandom.Int64N(int64(maxEndDelay)))
	pause := time.Duration(h.faultRandom.Int64N(int64(maxReplacementPause)))
	a.mu.Lock()
	minion := a.minion
	a.mu.Unlock()
	minion.WithLock(func(l *emulator.LeasedMinion, _ time.Time) { l.Drain() })
	a.markDisturbed(duration + departureTimeout + endDelay + pause)
	return a.vm.Node, func() {
		if !a.isCurrent(minion) {
			return
		}
		ctx, cancel := context.WithTimeout(h.ctx, departureTimeout)
		defer cancel()
		minion.Depart(ctx, netip.AddrPortFrom(a.vm.Address, registryPort))
		time.Sleep(endDelay)
		a.endMinion(minion, pause, false)
	}
}

// isCurrent reports whether a minion has neither crashed nor been replaced.
func (a *agent) isCurrent(minion *imitator.Minion) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	crashed := false
	minion.WithLock(func(*emulator.LeasedMinion, time.Time) { crashed = minion.Crashed() })
	return a.minion == minion && !crashed
}

// endMinion ends a minion, refuses connections for a while, and then starts the next
// one, with keepName under its name. It does nothing if the minion has already been
// replaced.
func (a *agent) endMinion(minion *imitator.Minion, pause time.Duration, keepName bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.minion != minion {
		return
	}
	if until := time.Now().Add(pause); until.After(a.downUntil) {
		a.downUntil = until
	}
	minion.Crash()
	a.proxy.refuse()
	time.AfterFunc(pause, func() {
		a.replaceMinion(minion, keepName)
		a.listenAgain()
	})
}

// markDisturbed records that a fault affects the agent for a time other than the one
// drawn for it.
func (a *agent) markDisturbed(duration time.Duration) {
	until := time.Now().Add(duration)
	a.harness.checker.markDisturbed(a.vm.Node, until)
	a.harness.checker.markDisturbed(anyTarget, until)
}
