"""Benchmarks: modules that are run as commands and print their figures."""
