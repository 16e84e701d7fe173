"""Model of the run protocol in virtual time, with faults drawn from a seed.

The entries and guards run the code of ``borageward.dispatch`` and
``borageward.runs``. The network, the endpoints and the callers are models. CI
plays some seeds; ``PYTHONPATH=src:platform:. python -m tests.model FIRST COUNT``
plays others, and prints the events of a task with ``--trace``.
"""
