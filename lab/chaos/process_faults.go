package chaos

import (
	"context"
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"

	"ryerill/config"
	"ryerill/lab/faultnet"
	"ryerill/lab/processes"
)

const (
	maxStop     = 3 * time.Second // longer, and clients give up: without a fleet that would be lost too
	maxLoad     = 100             // requests a second that a demand adds at a replica
	keyInterval = 2 * time.Second // between the steps of a rotation
	minAttempts = 3               // that a plan sets
)

// inject begins the fault of a step, waits for its end and ends it.
func (r *processRun) inject(ctx context.Context, step *Step) {
	switch step.Kind {
	case Isolate, IsolateOutgoing:
		r.partition(ctx, step, func(n *faultnet.Network) {
			for _, replica := range r.replicas(step) {
				n.Isolate(replica.Name, step.Kind == IsolateOutgoing)
			}
		})
	case Split:
		r.partition(ctx, step, func(n *faultnet.Network) { n.Split(r.names(step)) })
	case DegradeNetwork:
		r.degradeNetwork(ctx, step)
	case Stop:
		r.stop(ctx, step)
	case Kill, Leave:
		r.restart(ctx, step)
	case Demand:
		r.demand(ctx, step)
	case HarmlessRollout:
		r.startRollout(step)
	case AbortRollout:
		// It is refused where no plan is active.
		_, _ = r.replicas(step)[0].Admin("POST", "/ops/rollout/abort", "")
	case DiskFailure:
		r.setDisks(step, false)
		pause(ctx, step.Duration)
		r.setDisks(step, true)
	case RotateKeys:
		r.rotateKeys(ctx)
	case Upgrade:
		r.upgrade(ctx, step)
	case DiscoverySilent:
		r.discovery.setSilent(true)
		pause(ctx, step.Duration)
		r.discovery.setSilent(false)
	case DiscoveryLate:
		r.discovery.setDelay(time.Duration(step.Amount * float64(time.Second)))
		pause(ctx, step.Duration)
		r.discovery.setDelay(0)
	case ZoneFault, CostlyRollout:
		r.fleet.Ledger.FailEndpoint(step.Replicas[0] % endpoints)
		pause(ctx, step.Duration)
		r.fleet.Ledger.FailEndpoint(-1)
	}
}

// replicas returns the replicas of a step.
func (r *processRun) replicas(step *Step) (replicas []*processes.Replica) {
	for _, index := range step.Replicas {
		replicas = append(replicas, r.fleet.Replicas[index])
	}
	return replicas
}

// names returns the names of the replicas of a step.
func (r *processRun) names(step *Step) (names []string) {
	for _, replica := range r.replicas(step) {
		names = append(names, replica.Name)
	}
	return names
}

// partition changes the network for a while. Its end heals other partitions too.
func (r *processRun) partition(ctx context.Context, step *Step, change func(*faultnet.Network)) {
	r.fleet.Relays.Do(change)
	pause(ctx, step.Duration)
	r.fleet.Relays.Do((*faultnet.Network).Heal)
}

func (r *processRun) degradeNetwork(ctx context.Context, step *Step) {
	r.fleet.Relays.Do(func(n *faultnet.Network) { n.Usual(step.Link) })
	pause(ctx, step.Duration)
	r.fleet.Relays.Do(func(n *faultnet.Network) { n.Usual(faultnet.Link{}) })
}

func (r *processRun) stop(ctx context.Context, step *Step) {
	for _, replica := range r.replicas(step) {
		signal(replica, syscall.SIGSTOP)
	}
	pause(ctx, min(step.Duration, maxStop))
	for _, replica := range r.replicas(step) {
		signal(replica, syscall.SIGCONT)
	}
}

// restart kills replicas, or asks them to end, and starts them again after a while.
func (r *processRun) restart(ctx context.Context, step *Step) {
	for _, replica := range r.replicas(step) {
		signal(replica, syscall.SIGCONT)
		if step.Kind == Kill {
			replica.Kill()
		} else {
			signal(replica, syscall.SIGTERM)
		}
	}
	pause(ctx, step.Duration)
	for _, index := range step.Replicas {
		r.relaunch(ctx, index)
	}
}

// relaunch starts a replica once its process has ended, unless another fault of the same
// replica has started it already.
func (r *processRun) relaunch(ctx context.Context, index int) {
	replica := r.fleet.Replicas[index]
	if replica.Up() {
		return
	}
	_ = replica.Await() // it was killed or asked to end
	if replica.Up() || ctx.Err() != nil {
		return
	}
	err := r.fleet.Launch(ctx, index)
	if err != nil && !strings.Contains(err.Error(), "in use") { // another fault has started it meanwhile
		r.fail(ruleReplicaStarts, "%v", err)
	}
}

// demand sends more requests to replicas for a while, without waiting for the end.
func (r *processRun) demand(ctx context.Context, step *Step) {
	if step.Amount <= 0 {
		return
	}
	for _, index := range step.Replicas {
		r.faults.Add(1)
		go func() {
			defer r.faults.Done()
			load, stop := context.WithTimeout(ctx, step.Duration)
			defer stop()
			r.fleet.Drive(load, index, int(min(step.Amount, maxLoad)))
		}()
	}
}

// setDisks takes the state files of replicas away, or brings them back. Of two faults of
// one disk the second changes nothing.
func (r *processRun) setDisks(step *Step, available bool) {
	for _, index := range step.Replicas {
		_ = r.fleet.SetDisk(index, available)
	}
}

// rotateKeys replaces the fleet's key: the new one is accepted first, then used, and then
// the old one is dropped.
func (r *processRun) rotateKeys(ctx context.Context) {
	r.changing.Lock()
	defer r.changing.Unlock()
	previous := fleetKey(r.keyNumber)
	r.keyNumber++
	next := fleetKey(r.keyNumber)
	for _, keys := range [][]string{{previous, next}, {next, previous}, {next}} {
		if err := r.fleet.WriteKeys(keys...); err != nil {
			r.fail(ruleKeysRotate, "%v", err)
		}
		for _, replica := range r.fleet.Replicas {
			_, err := replica.Admin("GET", "/ops/readiness", "")
			if err == nil && replica.Up() { // one that starts reads the keys itself, and the signal could end it
				signal(replica, syscall.SIGHUP)
			}
		}
		pause(ctx, keyInterval)
	}
}

// fleetKey returns the key of a number.
func fleetKey(number int) string {
	if number == 0 {
		return processes.FirstKey
	}
	return fmt.Sprintf("key-%012d-of-this-fleet", number)
}

// upgrade replaces the processes of replicas, one after the other.
func (r *processRun) upgrade(ctx context.Context, step *Step) {
	r.changing.Lock()
	defer r.changing.Unlock()
	for _, index := range step.Replicas {
		replica := r.fleet.Replicas[index]
		if !replica.Up() {
			continue
		}
		terminations := replica.Terminations()
		err := r.fleet.Replace(ctx, index, r.fleet.Opt.Command)
		if err != nil && ctx.Err() == nil && replica.Terminations() == terminations {
			r.fail(ruleReplicaUpgraded, "%v", err)
		}
	}
}

// startRollout starts a harmless plan at a replica. It is refused while another one is
// active.
func (r *processRun) startRollout(step *Step) {
	r.mu.Lock()
	r.plans++
	plan, err := r.settingsPlan(r.plans)
	r.mu.Unlock()
	if err == nil {
		_, _ = r.replicas(step)[0].Admin("POST", "/ops/rollout", plan)
	}
}

// planHead takes the plan's number. The settings follow, indented.
const planHead = `id: plan-%d
kind: settings
stages: [{count: 1, soak: 1s}, {part: 0.5, soak: 1s}, {part: 1, soak: 1s}]
away: 2
wait: 20s
unknown: 20s
settings:
`

// settingsPlan returns a harmless plan over the first replica's configuration.
func (r *processRun) settingsPlan(number int) (string, error) {
	text, err := os.ReadFile(r.fleet.Replicas[0].ConfigFile)
	if err != nil {
		return "", err
	}
	file := new(config.File)
	if err := yaml.Unmarshal(text, file); err != nil {
		return "", err
	}
	pool := &file.Pools[0]
	pool.ReplicaIndex = 0
	pool.Limits.MaxAttempts = minAttempts + number%3
	pools, err := yaml.Marshal(map[string]any{"pools": file.Pools})
	if err != nil {
		return "", err
	}
	const indent = "  "
	settings := strings.ReplaceAll(strings.TrimSpace(string(pools)), "\n", "\n"+indent)
	return fmt.Sprintf(planHead, number) + indent + settings + "\n", nil
}
