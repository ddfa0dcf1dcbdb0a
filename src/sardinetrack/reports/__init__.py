"""A page about a run, drawn from the structured lines of its processes."""
