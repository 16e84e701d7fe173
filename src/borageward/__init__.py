"""Dispatcher for sub-second tasks."""
