"""Features, their steps, and what the steps share."""
