package realtime

import (
	"fmt"
	"strings"
)

// corruptions are the ways in which a response can be corrupted, each a function of the request's id.
var corruptions = []func(id uint64) string{
	func(uint64) string { return "\x00\x17noise that is no answer\r\n\r\n" },
	func(uint64) string {
		return "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nContent-Length: 40\r\n\r\nhello, world"
	},
	func(uint64) string { return "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nfine" },
	func(uint64) string {
		return "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + strings.Repeat("x", 32<<10)
	},
	func(uint64) string {
		return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nnot a chunk\r\n"
	},
	func(uint64) string { return "HTTP/1.1 200 OK\r\nX-Endless: " + strings.Repeat("y", 48<<10) },
	func(uint64) string { return "HTTP/9.7 two hundred\r\n\r\n" },
	func(id uint64) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 40\r\nTransfer-Encoding: chunked\r\n\r\n%016x", id)
	},
}
