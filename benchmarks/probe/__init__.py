"""Pieces that several benchmarks share."""
