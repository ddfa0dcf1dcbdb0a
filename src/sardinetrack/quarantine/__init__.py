"""Finds the parts of prompts that crash engines; no I/O."""
