"""Measures admission and routing decisions with a fake clock and fake links."""
