"""Which backend server a request goes to; no I/O, no clock."""
