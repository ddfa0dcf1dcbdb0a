"""Translates between the users' platform and sardinetrack, and nothing else.

No other package uses the platform's names.
"""
