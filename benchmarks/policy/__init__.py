"""Measures the admission and routing decisions under fake clocks and links."""
