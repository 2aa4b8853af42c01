package socket

import "time"

// PastDeadline is over whenever it is set: it ends the operation that is under way on a connection.
var PastDeadline = time.Unix(1, 0)
