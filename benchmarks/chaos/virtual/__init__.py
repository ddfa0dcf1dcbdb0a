"""The whole path in one process: virtual time, fake connections."""
