"""Model of the run protocol in virtual time, with faults drawn from a seed.

The entries and guards run the code of ``borageward.dispatch`` and
``borageward.runs``. The network, the endpoints and the callers are models. CI
plays some seeds. With the paths of ``scripts/test``, others are played by
``python -m tests.model FIRST COUNT``, which prints events with ``--trace``.
"""
