"""Soak test: real processes under faults that are injected from outside."""
