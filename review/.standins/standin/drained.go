package main

import (
	"bufio"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// notice is when a proxy was told that an endpoint drains.
type notice struct {
	index uint64
	told  float64 // 0 until it was told
}

// runDrained reads a record and prints the requests that reached an endpoint later than the grace after the proxy was
// told that it drains: when discovery had written the change to it. It fails if there are any.
func runDrained(args []string) error {
	flags := flag.NewFlagSet("drained", flag.ExitOnError)
	path := flags.String("record", "", "record file")
	grace := flags.Duration("grace", time.Second, "the settings' time to stop sending, and the slack of sockets")
	_ = flags.Parse(args)
	file, err := os.Open(*path)
	if err != nil {
		return err
	}
	defer file.Close()
	notices := map[string]*notice{}
	late := 0
	for lines := bufio.NewScanner(file); lines.Scan(); {
		words := strings.Fields(lines.Text())
		if len(words) < 3 {
			continue
		}
		at, _ := strconv.ParseFloat(words[0], 64)
		values := map[string]string{}
		for _, word := range words[3:] {
			name, value, _ := strings.Cut(word, "=")
			values[name] = value
		}
		index, _ := strconv.ParseUint(values["index"], 10, 64)
		switch {
		case words[1] == "directory" && words[2] == "changes" && values["status"] != "Ready":
			notices[values["name"]] = &notice{index: index}
		case words[1] == "directory" && words[2] == "changes":
			delete(notices, values["name"])
		case words[1] == "case" && words[2] == "operators": // the proxy has said yes
			notices[values["name"]] = &notice{told: at}
		case words[1] == "directory" && words[2] == "tells":
			for _, n := range notices {
				if n.told == 0 && n.index <= index {
					n.told = at
				}
			}
		case words[2] == "head":
			n := notices[words[1]]
			if n != nil && n.told > 0 && at-n.told > grace.Seconds() {
				late++
				fmt.Printf("request %s reached %s %.3f s after the proxy was told of its drain\n",
					values["id"], words[1], at-n.told)
			}
		}
	}
	if late > 0 {
		os.Exit(1)
	}
	return nil
}
