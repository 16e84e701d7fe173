"""Stand-ins for external systems and tools to run a local deployment.

Used by the tests, the benchmarks and the quickstart; not part of the product.
"""
