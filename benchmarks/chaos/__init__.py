"""Long randomised runs that inject all faults, two at a time."""
