"""Composition root: the only package that connects concrete classes."""
