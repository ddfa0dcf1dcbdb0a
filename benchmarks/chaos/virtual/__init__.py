"""All daemons in one process, in virtual time, with fake connections."""
