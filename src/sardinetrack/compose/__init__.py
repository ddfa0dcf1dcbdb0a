"""The composition root: the only place that wires concrete parts."""
