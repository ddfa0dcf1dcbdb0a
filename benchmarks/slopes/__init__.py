"""Costs that grow with the size of the fleet, one module for each subject."""
