"""Views of the store that a few instances hold and lend to the others."""
