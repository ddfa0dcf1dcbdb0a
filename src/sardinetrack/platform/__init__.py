"""Translates between the users' platform and the product, and nothing else.

No other package knows the platform's names.
"""
