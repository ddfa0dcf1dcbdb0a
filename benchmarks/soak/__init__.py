"""A fault soak: the real programs as processes, faults from outside."""
