package proxy

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"ryerill/admin"
	"ryerill/fleet"
	"ryerill/fleet/rollout"
)

// rollouts holds the functions needed to take part in the fleet's rollouts. Without them the proxy does not take part.
type rollouts struct {
	change    fleet.ChangeFunc
	parsePlan func(text []byte) (rollout.Plan, error)
}

// reportRefused is the command with which an operator's tooling reports that it could not make a change. Its argument
// is the plan and the reason, separated by a space.
const reportRefused = "refused"

// Rollout implements [admin.Controller].
func (p *Proxy) Rollout() (json.RawMessage, error) {
	if host := p.fleetHost(); host != nil {
		if status, enabled := host.RolloutStatus(); enabled {
			return json.Marshal(status)
		}
	}
	return nil, admin.ErrNoRollouts
}

// StartRollout implements [admin.Controller].
func (p *Proxy) StartRollout(text []byte) error {
	host := p.fleetHost()
	if host == nil || p.rollouts.parsePlan == nil {
		return errNoFleet
	}
	plan, err := p.rollouts.parsePlan(text)
	if err != nil {
		return err
	}
	return host.StartRollout(plan)
}

// RolloutCommand implements [admin.Controller].
func (p *Proxy) RolloutCommand(command, argument string) error {
	host := p.fleetHost()
	if host == nil {
		return errNoFleet
	}
	if command == reportRefused {
		plan, reason, _ := strings.Cut(argument, " ")
		host.RolloutRefused(plan, reason)
		return nil
	}
	return host.RolloutCommand(command)
}

// AwaitReady waits until discovery has answered each pool. It returns nil if the proxy is ready then, otherwise the
// reason. A rollout calls it after a reload.
func (p *Proxy) AwaitReady(timeout time.Duration) error {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for _, c := range p.activePools() {
		select {
		case <-c.discovery.listed:
		case <-timer.C:
			return fmt.Errorf("pool %s: its directory does not answer within %v", c.name, timeout)
		}
	}
	return p.Readiness()
}
