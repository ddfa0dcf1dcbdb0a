"""Benchmarks and long test runs, started as commands."""
