package socket

import "time"

// PastDeadline is a deadline that has always passed. Setting it interrupts the operation in progress on a connection.
var PastDeadline = time.Unix(1, 0)
