"""Benchmarks of the product."""
