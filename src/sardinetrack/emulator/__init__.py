"""Seeded crowds before emulated engines; decisions are the product's own."""
