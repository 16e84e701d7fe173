"""Model of the run protocol in virtual time, with faults drawn from a seed.

The entries and guards run the code of ``borageward.dispatch`` and
``borageward.runs``. The network, the endpoints and the callers are models. CI
plays some seeds. With the paths of ``scripts/test``, others are played by
``python -m tests.model FIRST COUNT``, which prints events with ``--trace`` and
draws the faults of endpoints and power too with ``--extra``.

Which guard of the code is held by what, each tried on a copy without it. Seeds
are those of CI, ``x`` for those with the extra faults:

- the entry waits for a silent guard for the run limit: seeds 1, 3, 9, 14, 15,
  16, 18, 19, 20 (with one second less)
- leases have expired before a silent endpoint counts as ended: seeds 2, 3, 6,
  12, 13, 14, 16, 19
- a new guard waits for the runs of the former one:
  ``test_guard_returns_before_the_runs_of_its_predecessor_have_ended``
- lists older than a confirmation prove nothing: x1, x19, x28,
  ``test_lists_are_overtaken_by_the_reply_to_a_start``
- the fence of a restarted endpoint counts from its first answer:
  ``test_late_start_is_carried_out_by_a_restarted_endpoint``
- lists alone do not settle an unanswered start: seed 13,
  ``test_late_start_is_barred_before_its_task_starts_elsewhere``
- orders on the link of an expired session are ignored (bf54ce0): seed 13,
  ``test_order_arrives_after_its_session_has_expired``,
  ``test_order_is_held_back_until_its_session_has_expired``
- a refusal waits for the other run of the task (4eb2fd0):
  ``test_second_run_waits_for_the_first_at_the_same_guard``
- the authority of a session ends by the clock (e72d29a): none. The run limit of
  each echo ends the same runs; without both, seeds 12 and 19 fail.
- runs of jobs in doubt are stopped after a silence of all guards:
  ``test_callers_leave_in_a_cut_that_sessions_outlast``
- these jobs get no orders, and their runs are stopped: seeds 12, 18, and
  ``test_entry_returns_from_a_cut_whose_callers_have_left``
"""
