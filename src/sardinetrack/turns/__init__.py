"""Turns at a backend server: entries ask its side, the side grants."""
