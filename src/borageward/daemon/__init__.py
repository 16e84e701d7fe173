"""The daemon ``boragewardd``."""
