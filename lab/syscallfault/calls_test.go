package syscallfault

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"testing"

	"golang.org/x/sys/unix"
)

// tracedNames are the calls that plans can name on all machines.
var tracedNames = []string{
	"accept4", "bind", "close", "connect", "dup", "epoll_ctl", "fchmod", "fcntl", "flock", "fstat", "fsync", "ftruncate",
	"getdents64", "getsockopt", "listen", "mkdirat", "newfstatat", "openat", "ppoll", "pread64", "read", "readv", "recvfrom",
	"renameat", "renameat2", "sendto", "setsockopt", "shutdown", "socket", "unlinkat", "write", "writev",
}

// A plan names the same calls on each machine. The one that arm64 lacks is refused there, with the name to take: a rule
// for poll that disturbed ppoll as well would not be the same plan.
func TestPlansNameTheSameCallsOnEachMachine(t *testing.T) {
	refused := map[string]string{
		"arm64": `faults.yaml:1:16: rules[0].call: "poll" is no call of this machine: take ppoll, which is made in its place here`,
	}[runtime.GOARCH]
	want := slices.Clone(tracedNames)
	if refused == "" {
		want = append(want, "poll")
		slices.Sort(want)
	}
	if got := callNames(); !slices.Equal(got, want) {
		t.Errorf("calls %v, want %v", got, want)
	}
	_, err := ReadPlan("faults.yaml", []byte("rules: [{call: poll, error: ENOMEM}]"))
	if refused == "" && err != nil || refused != "" && (err == nil || err.Error() != refused) {
		t.Errorf("a plan that names poll: %v, want %q", err, refused)
	}
}

// The environment of a process that makes the calls of TestEachPartOfACallIsTraced: its folder and its server.
const (
	callerFolder = "SYSCALLFAULT_CALLER_FOLDER"
	callerServer = "SYSCALLFAULT_CALLER_SERVER"
)

func TestMain(m *testing.M) {
	if folder := os.Getenv(callerFolder); folder != "" {
		makeCalls(folder, os.Getenv(callerServer))
		return
	}
	os.Exit(m.Run())
}

// makeCalls makes calls that plans disturb, each twice, and prints what they return.
func makeCalls(folder, server string) {
	path := filepath.Join(folder, "data.txt")
	opened := must(unix.Open(path, unix.O_RDWR, 0))
	duplicate := must(unix.FcntlInt(uintptr(opened), unix.F_DUPFD_CLOEXEC, 0))
	buffer := make([]byte, 10)
	for range 2 {
		n, err := unix.Read(duplicate, buffer)
		fmt.Printf("read %d %q %v\n", n, buffer[:max(n, 0)], err)
	}
	for range 2 {
		n, err := unix.Writev(opened, [][]byte{[]byte("abcdef"), []byte("ghi")})
		fmt.Println("writev", n, err)
	}
	for range 2 {
		_, err := unix.Poll([]unix.PollFd{{Fd: int32(opened), Events: unix.POLLIN}}, 0)
		fmt.Println("ppoll", err)
	}
	address, err := net.ResolveTCPAddr("tcp4", server)
	if err != nil {
		panic(err)
	}
	socket := must(unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0))
	for range 2 {
		err := unix.Connect(socket, &unix.SockaddrInet4{Port: address.Port, Addr: [4]byte(address.IP.To4())})
		fmt.Println("connect", err)
	}
	for range 2 {
		fmt.Println("unlinkat", unix.Unlinkat(unix.AT_FDCWD, path, 0))
	}
}

// must returns what a call has returned that no plan disturbs.
func must(descriptor int, err error) int {
	if err != nil {
		panic(err)
	}
	return descriptor
}

// What a tracer reads and sets differs by machine: the number of a call, its arguments, its result, and how it is left
// out. A program that makes each call twice has the first one disturbed, as the plan says, and the second one made.
func TestEachPartOfACallIsTraced(t *testing.T) {
	folder := t.TempDir()
	path := filepath.Join(folder, "data.txt")
	if err := os.WriteFile(path, []byte("0123456789"), 0o600); err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	server := listener.Addr().String()
	plan := &Plan{Rules: []Rule{
		{Call: "read", Descriptor: File, Path: path, Bytes: 4, Most: 1},
		{Call: "writev", Descriptor: File, Path: path, Bytes: 5, Most: 1},
		{Call: "ppoll", Error: "ENOMEM", Most: 1},
		{Call: "connect", Descriptor: Endpoint, Path: server, Error: "EADDRNOTAVAIL", Most: 1},
		{Call: "unlinkat", Path: path, Error: "EIO", Most: 1},
	}}
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	var output, record bytes.Buffer
	command := exec.Command(program)
	command.Env = append(os.Environ(), callerFolder+"="+folder, callerServer+"="+server)
	command.Stdout = &output
	command.Stderr = &output
	status, err := Run(command, plan, "", &record)
	_ = command.Wait() // reaped already: it ends the copies of what was written
	if err != nil || status != 0 {
		t.Fatalf("status %d, %v\n%s", status, err, &output)
	}
	want := strings.Join([]string{
		`read 4 "0123" <nil>`, `read 6 "456789" <nil>`,
		"writev 5 <nil>", "writev 9 <nil>",
		"ppoll cannot allocate memory", "ppoll <nil>",
		"connect cannot assign requested address", "connect <nil>",
		"unlinkat input/output error", "unlinkat <nil>",
	}, "\n") + "\n"
	if output.String() != want {
		t.Errorf("the program saw\n%swant\n%s", &output, want)
	}
	injected, err := ReadInjections(&record)
	if err != nil || len(injected) != len(plan.Rules) {
		t.Fatalf("recorded: %+v, %v; want one for each of %d rules", injected, err, len(plan.Rules))
	}
	for i, rule := range plan.Rules {
		got := injected[i]
		if got.Call != rule.Call || got.Error != rule.Error || got.Bytes != rule.Bytes || got.Target != rule.Path {
			t.Errorf("recorded %+v, want %+v", got, rule)
		}
	}
}
