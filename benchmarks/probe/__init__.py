"""Modules shared by several benchmarks."""
