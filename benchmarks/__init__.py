"""Commands that measure the project."""
