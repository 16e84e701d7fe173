"""Policies for admission, ordering, placement and retries, without any I/O.

The package exports nothing, so that each process imports only the modules
whose decisions it makes.
"""
