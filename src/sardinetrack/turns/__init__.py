"""Permits to send requests to a model engine.

A side is the sidecar process of a backend server, which admits requests to
it: entries request a permit for each request, and the side grants or refuses
it.
"""
