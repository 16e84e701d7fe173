"""Margins between the runs of tasks that were ordered a second time."""
