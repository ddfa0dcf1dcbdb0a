"""A long randomised run that mixes all failures, two at a time."""
