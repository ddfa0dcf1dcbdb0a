"""Seeded load on emulated engines, with the product's own decisions."""
