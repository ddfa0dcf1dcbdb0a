"""Small stand-ins of the platform, servers and callers, for review scripts."""
