"""Choice of the backend server for a request; no I/O, no clock."""
