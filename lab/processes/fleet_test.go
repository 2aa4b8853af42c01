package processes

import (
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"ryerill/config"
	"ryerill/lab/faultnet"
)

// A fleet of 12 real processes under load: kills, stops, partitions and restarts cost no
// request but those that were open at a killed process, views agree after each, and the
// quota fractions never come to more than 1.
func TestFleetOfProcesses(t *testing.T) {
	slow(t)
	f := startLoaded(t, Options{Replicas: 12})
	t.Log("known to each other after", until(t, 20*time.Second, "all to know all", f.agree))
	until(t, 10*time.Second, "placements", func() bool { return f.quotaFractions(t) > 0.99 })

	t.Run("killed and restarted", func(t *testing.T) {
		f.Replicas[3].Kill()
		t.Log("held for dead after", until(t, 10*time.Second, "it to be held for dead", f.allHold(3, "dead")))
		f.quotaFractions(t)
		if err := f.Launch(t.Context(), 3); err != nil {
			t.Fatal(err)
		}
		t.Log("back after", until(t, 10*time.Second, "it to be back", f.agree))
	})
	t.Run("stopped for long", func(t *testing.T) {
		c := f.Replicas[5]
		before := len(c.Log())
		c.Signal(syscall.SIGSTOP)
		until(t, 10*time.Second, "it to be held for dead", f.allHold(5, "dead"))
		time.Sleep(3 * time.Second)
		c.Signal(syscall.SIGCONT)
		t.Log("back after", until(t, 10*time.Second, "it to be back", f.agree))
		if log := c.Log()[before:]; !strings.Contains(log, "stood still") || strings.Contains(log, "status=dead") {
			t.Errorf("it suspects others, or did not notice:\n%s", log)
		}
	})
	t.Run("partitioned in one direction", func(t *testing.T) {
		f.Relays.Do(func(n *faultnet.Network) { n.Set("c01", "c02", faultnet.Link{Partitioned: true}) })
		time.Sleep(4 * time.Second)
		if !f.agree() {
			t.Error("somebody is held for dead")
		}
		f.Relays.Do(func(n *faultnet.Network) { n.Heal() })
	})
	t.Run("split and healed", func(t *testing.T) {
		f.Relays.Do(func(n *faultnet.Network) { n.Split(names(f.Replicas[:5]), names(f.Replicas[5:])) })
		until(t, 15*time.Second, "each half to hold the other for dead", func() bool {
			a, _ := f.Replicas[0].Status()
			b, _ := f.Replicas[9].Status()
			return a.Pools["main"].Unreachable == 7 && b.Pools["main"].Unreachable == 5
		})
		f.quotaFractions(t)
		if s, _ := f.Replicas[0].Status(); !s.Partitioned || s.Pools["main"].Of != 12 || s.Pools["main"].QuotaReplicas != 12 {
			t.Errorf("the smaller half does not know that it is partitioned: %v, %+v", s.Partitioned, s.Pools["main"])
		}
		time.Sleep(2 * time.Second)
		f.Relays.Do(func(n *faultnet.Network) { n.Heal() })
		took := until(t, 15*time.Second, "it to heal", f.agree)
		if t.Log("healed after", took); took > 5*time.Second {
			t.Errorf("healed after %v", took)
		}
	})
	t.Run("frames lost, late, corrupted and duplicated", func(t *testing.T) {
		f.Relays.Do(func(n *faultnet.Network) {
			n.Usual(faultnet.Link{Drop: 0.2, Corrupt: 0.05, Duplicate: 0.1, Reorder: 0.1, Delay: 5 * time.Millisecond, Jitter: 10 * time.Millisecond})
		})
		// Each replica receives a few frames a second: it may see none of a kind for long.
		until(t, 30*time.Second, "every replica to have dropped corrupted and replayed frames", func() bool {
			for _, c := range f.Replicas {
				if s, err := c.Status(); err != nil || s.Frames.Invalid["its code does not fit"] == 0 || s.Frames.Invalid["seen before"] == 0 {
					return false
				}
			}
			return true
		})
		f.Relays.Do(func(n *faultnet.Network) { n.Usual(faultnet.Link{}) })
		until(t, 15*time.Second, "the fleet to agree", f.agree)
	})
	t.Run("half killed at once", func(t *testing.T) {
		for _, c := range f.Replicas[6:] {
			c.Signal(syscall.SIGKILL)
		}
		for _, c := range f.Replicas[6:] {
			c.Await()
		}
		t.Log("held for dead after", until(t, 20*time.Second, "the rest to agree", f.agree))
		f.quotaFractions(t)
		for i := range f.Replicas[6:] {
			if err := f.Launch(t.Context(), 6+i); err != nil {
				t.Fatal(err)
			}
		}
		t.Log("back after", until(t, 15*time.Second, "all to be back", f.agree))
	})
	t.Run("asked to end", func(t *testing.T) {
		f.Replicas[11].Signal(syscall.SIGTERM)
		if err := f.Replicas[11].Await(); err != nil {
			t.Error(err)
		}
		until(t, 10*time.Second, "all to know that it left", f.allHold(11, "left"))
		f.quotaFractions(t)
	})
	t.Run("key rotated in steps", func(t *testing.T) {
		// Frames that were corrupted before may name an unknown key, and count already.
		unknown := func(c *Replica) uint64 { s, _ := c.Status(); return s.Frames.Invalid["by a key that is not known"] }
		before := map[*Replica]uint64{}
		for _, c := range f.Replicas[:11] {
			before[c] = unknown(c)
		}
		for _, keys := range [][]string{{"first-key-of-this-fleet", "second-key-of-this-fleet"}, {"second-key-of-this-fleet", "first-key-of-this-fleet"},
			{"second-key-of-this-fleet"}} {
			if err := f.WriteKeys(keys...); err != nil {
				t.Fatal(err)
			}
			for _, c := range f.Replicas[:11] {
				before := strings.Count(c.Log(), "configuration reloaded")
				c.Signal(syscall.SIGHUP)
				until(t, 10*time.Second, "the reload", func() bool { return strings.Count(c.Log(), "configuration reloaded") > before })
			}
		}
		until(t, 10*time.Second, "the fleet to agree", f.agree)
		for _, c := range f.Replicas[:11] {
			if n := unknown(c) - before[c]; n > 0 {
				t.Errorf("%s dropped %d frames by an unknown key", c.Name, n)
			}
		}
	})
	t.Run("datagrams of strangers", func(t *testing.T) {
		conn, err := net.Dial("udp", f.Replicas[0].fleetAddress.String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		before, _ := f.Replicas[0].Status()
		frame, _ := hex.DecodeString("01000000000100000000000000018000")
		for i := range 3000 {
			conn.Write(append(frame, make([]byte, i%1400)...))
		}
		conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
		if n, err := conn.Read(make([]byte, 100)); err == nil {
			t.Errorf("a stranger is answered with %d bytes", n)
		}
		after, _ := f.Replicas[0].Status()
		if sum(after.Frames.Invalid) == sum(before.Frames.Invalid) {
			t.Error("nothing is counted")
		}
		until(t, 10*time.Second, "the fleet to agree", f.agree)
	})
	for _, c := range f.Replicas[:11] {
		s, err := c.Status()
		if err != nil {
			t.Fatal(err)
		}
		if rate := float64(s.Frames.BytesOut) / (float64(s.UptimeMS) / 1000); rate > 4000 {
			t.Errorf("%s sent %.0f bytes a second", c.Name, rate)
		}
		if n := OpenFiles(c.Pid()); n > 120 {
			t.Errorf("%s holds %d descriptors", c.Name, n)
		}
	}
}

// Of two processes of one name, as with a copied configuration, the one that started first
// logs what to do, and gives up its quota fraction.
func TestCopiedConfiguration(t *testing.T) {
	f := startLoaded(t, Options{Replicas: 3, Change: func(i int, file *config.File) {
		if i == 2 {
			file.Name = "c01"
		}
	}})
	until(t, 15*time.Second, "one to be displaced", func() bool {
		for _, c := range f.Replicas[1:] {
			if s, err := c.Status(); err == nil && s.Displaced && s.Pools["main"].QuotaFraction == 0 && strings.Contains(c.Log(), "give one of them another name") {
				return true
			}
		}
		return false
	})
}

// Without a fleet block there is no socket and no goroutine of the fleet, and the management
// endpoint says so.
func TestNoFleetWithoutFleetBlock(t *testing.T) {
	f := startLoaded(t, Options{Replicas: 1, Off: true})
	if text, err := f.Replicas[0].Admin("GET", "/ops/fleet", ""); err == nil || !strings.Contains(err.Error(), "in no fleet") {
		t.Errorf("%s, %v", text, err)
	}
	udp, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/udp", f.Replicas[0].Pid()))
	if err != nil {
		t.Fatal(err)
	}
	if strings.Contains(string(udp), fmt.Sprintf(":%04X ", f.Replicas[0].fleetAddress.Port())) {
		t.Error("its address for datagrams is open")
	}
	f.Replicas[0].Signal(syscall.SIGQUIT) // the runtime prints all goroutines
	f.Replicas[0].Await()
	if log := f.Replicas[0].Log(); strings.Contains(log, "ryerill/fleet") {
		t.Errorf("goroutines of the fleet:\n%s", log)
	}
	runtime.KeepAlive(f)
}
