package realtime

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
)

// Two faults may give one proxy a configuration at once: its file is always a whole one, and neither fails.
func TestReloadsAtOnceDoNotDisturbEachOther(t *testing.T) {
	process := exec.Command("sleep", "60")
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = process.Process.Kill() // the first signal has ended it
		_ = process.Wait()
	})
	r := newRun(tinyScenario(t), Options{Seed: 1}, t.TempDir())
	t.Cleanup(r.launcher.close)
	r.discovery = append(r.discovery, newDiscoveryService(r, 0))
	proxy := &instance{
		run:                r,
		name:               "front-0",
		address:            anyPort,
		discoveryAddresses: []string{anyPort},
		file:               filepath.Join(r.dir, "front-0.json"),
		cmd:                process,
	}
	const goroutines, reloads = 4, 50
	var reloading sync.WaitGroup
	for variant := range goroutines {
		reloading.Go(func() {
			for range reloads {
				if err := proxy.reload(variant); err != nil {
					t.Errorf("variant %d: %v", variant, err)
					return
				}
			}
		})
	}
	reloading.Wait()
	if info, err := os.Stat(proxy.file); err != nil || info.Size() == 0 {
		t.Errorf("its file: %v", err)
	}
}
