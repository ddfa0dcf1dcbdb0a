"""HTML report of a run, drawn from its processes' log lines."""
