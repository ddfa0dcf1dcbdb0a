"""Borrowed views: views of the store received from a neighbouring instance.

A few instances watch the store and send its objects and changes to the others.
"""
