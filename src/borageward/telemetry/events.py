"""Names, levels, fields and descriptions of all events.

Events for the steps of tasks have the fields ``job``, ``worker`` and
``tasks``, which lists the indexes of all tasks that the event covers. The
timeline uses them to order the steps of a task across processes. Steps up to
the end of the run also have ``attempt``. Results have none: a guard starts a
task at most once, so job, task and worker identify a result.
"""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType

import attrs

JOB_CLAIMED = 'job_claimed'
TASK_START_SENT = 'task_start_sent'
TASK_START_RECEIVED = 'task_start_received'
TASK_RUN_STARTED = 'task_run_started'
TASK_RUN_FINISHED = 'task_run_finished'
TASK_RESULT_SENT = 'task_result_sent'
TASK_RESULT_RECEIVED = 'task_result_received'
JOB_ANSWERED = 'job_answered'

# In causal order: each step of a task happens before the next one.
TASK_STEPS = (
    TASK_START_SENT,
    TASK_START_RECEIVED,
    TASK_RUN_STARTED,
    TASK_RUN_FINISHED,
    TASK_RESULT_SENT,
    TASK_RESULT_RECEIVED,
)


@attrs.frozen(slots=True)
class EventDescription:
    """Description of an event for the reference page.

    ``fields`` lists the names of its fields, separated by commas, without
    those that every line has.
    """

    level: str
    fields: str
    meaning: str


def _step(fields: str, meaning: str) -> EventDescription:
    return EventDescription('debug', fields, meaning)


def _info(fields: str, meaning: str) -> EventDescription:
    return EventDescription('info', fields, meaning)


def _warning(fields: str, meaning: str) -> EventDescription:
    return EventDescription('warning', fields, meaning)


def _error(fields: str, meaning: str) -> EventDescription:
    return EventDescription('error', fields, meaning)


EVENTS: Mapping[str, EventDescription] = MappingProxyType(
    {
        JOB_CLAIMED: _step(
            'job, incarnation, claimed_at',
            'A majority has synced the claim, before any start of a task.',
        ),
        TASK_START_SENT: _step(
            'job, tasks, attempt, worker',
            'The entry is about to send the order to start the tasks.',
        ),
        TASK_START_RECEIVED: _step(
            'job, tasks, attempt, worker',
            'The guard has accepted the order to start the tasks.',
        ),
        TASK_RUN_STARTED: _step(
            'job, tasks, attempt, worker',
            'The guard is about to send the task to the runner.',
        ),
        TASK_RUN_FINISHED: _step(
            'job, tasks, attempt, worker, reason',
            'The runner has answered or failed; `reason` is set on failure.',
        ),
        TASK_RESULT_SENT: _step(
            'job, tasks, worker',
            'The guard is about to send the outcomes to the entry.',
        ),
        TASK_RESULT_RECEIVED: _step(
            'job, tasks, worker',
            'The entry has received the outcomes.',
        ),
        JOB_ANSWERED: _step(
            'job, status',
            'The complete answer or the failure is about to be sent.',
        ),
        'process_started': _info(
            'role', 'All roles of the process are ready to serve.'
        ),
        'process_stopping': _info(
            '', 'Shutdown has begun; requests already accepted are finished.'
        ),
        'process_stopped': _info('', 'All roles of the process are closed.'),
        'process_stalled': _warning(
            'stalled_ms, suspended_ms',
            'The process did not run for this long; `suspended_ms` of it the '
            'host was suspended.',
        ),
        'entry_draining': _info(
            '', 'The entry accepts no new jobs and answers the open ones.'
        ),
        'entry_closed': _info(
            '', 'The entry has closed its connections after its last answer.'
        ),
        'incarnation_started': _info(
            'incarnation', 'Control gave the entry a new incarnation.'
        ),
        'incarnation_ended': _warning(
            '', 'Control ended the incarnation of the entry; its jobs stop.'
        ),
        'request_failed': _warning(
            'error', 'A request failed with an unexpected exception.'
        ),
        'guard_registered': _info(
            'incarnation', 'Control gave the guard a new incarnation.'
        ),
        'guard_leaving': _info(
            '', 'The guard is shutting down and refuses new tasks.'
        ),
        'guard_ended': _warning(
            'incarnation', 'Control ended the incarnation of the guard.'
        ),
        'guard_closed': _info(
            'undelivered',
            'The guard stopped; `undelivered` counts unacknowledged results.',
        ),
        'link_malformed': _warning(
            'detail', 'A peer sent a message that cannot be decoded.'
        ),
        'leader_started': _info(
            'term', 'The replica became the leader of the term.'
        ),
        'leader_stopped': _info('term', 'The replica is no longer the leader.'),
        'leader_changed': _info(
            'term, leader',
            'The known leader changed; `leader` is empty if there is none.',
        ),
        'majority_lost': _warning(
            'term', 'The leader stepped down, as it could not reach a majority.'
        ),
        'lease_expired': _info(
            'incarnation',
            'Control ends a silent process, which did not renew its lease.',
        ),
        'snapshot_taken': _info(
            'index, bytes', 'The log was compacted into a snapshot.'
        ),
        'storage_failed': _warning(
            'detail',
            'A write to or a sync of the disk failed; the process ends.',
        ),
        'replica_has_another_disk': _warning(
            'replica',
            'A voter answered from another disk; its reply is not counted.',
        ),
        'disk_refused': _warning(
            'voter',
            'Another voter knows the voter id with another disk; the replica '
            'joins again under a new id.',
        ),
        # Control replicas that find each other through seeds.
        'replica_opened': _info(
            'replica', 'The replica has read its log from disk.'
        ),
        'replica_joined': _info(
            'replica', 'The leader added the replica as a learner.'
        ),
        'replica_removed': _info(
            'replica, cause, outcome',
            'A superseded learner was removed, if outcome is `done`.',
        ),
        'voter_exchange_started': _info(
            'removed, added, cause, removed_silence_ms, added_silence_ms, '
            'voters, losses, losses_after',
            'The leader begins to exchange voters. `voters` are those before '
            'it; until it is completed a majority of these and of the new ones '
            'is needed. `losses` and `losses_after` are the lost disks that '
            'the voters survive before and after it.',
        ),
        'voter_removed': _info(
            'replica, cause, successor, voters, outcome',
            'A silent or superseded voter was exchanged for a learner, if '
            'outcome is `done`; `voters` are those in use then.',
        ),
        'voter_promoted': _info(
            'replica, cause, successor, voters, outcome',
            'Learners that caught up got votes, if outcome is `done`.',
        ),
        'survivable_losses': _info(
            'losses, tolerated, voters, superseded',
            'Number of disks that may be lost from now on, as the leader knows '
            'it. It should be `tolerated`; `superseded` lists replicas whose '
            'disks were replaced.',
        ),
        'replica_retired': _warning(
            '',
            'This replica was replaced; it joins again under a new id.',
        ),
        'replica_lost': _info(
            'replica', 'A control replica has stopped answering.'
        ),
        'replica_regained': _info(
            'replica', 'A control replica answers, for the first time or again.'
        ),
        'guard_announced': _info(
            'host, address',
            'A guard announced itself for the first time or with changes.',
        ),
        'guard_forgotten': _info(
            'host', 'A guard that had stopped announcing itself was removed.'
        ),
        'manifest_stored': _info(
            'version, in_force, queues',
            'A majority of the control replicas has synced a manifest.',
        ),
        'manifest_call_forwarded': _info(
            'call, leader, outcome',
            'A follower passed an operator call on to the leader.',
        ),
        'operator_redirected': _info(
            'call, leader',
            'A follower that could not reach the leader redirected a call.',
        ),
        'operator_call_ended': _info(
            'call, status, took_ms',
            'An operator got an answer, or left before it if status is 0.',
        ),
        'manifest_refused': _warning(
            'detail', 'A submitted manifest is invalid.'
        ),
        'manifest_not_stored': _warning(
            'reason, detail',
            'It is not known whether the manifest has been stored.',
        ),
        'manifest_not_read': _warning(
            'reason, detail',
            'No majority has confirmed which manifest is the newest.',
        ),
        'manifest_taken': _info(
            'version, queues',
            'The entry switched to a newer manifest.',
        ),
        # Jobs at an entry.
        'job_accepted': _info(
            'job, queue, manifest, tasks, deadline_ms',
            'The entry starts to place a job with this number of tasks.',
        ),
        'job_refused': _warning(
            'job, reason', 'A job request was refused; `reason` says why.'
        ),
        'job_shed': _info(
            'job, wait_ms, cores, endpoints, room, waited_ms',
            'A job was refused because it would have to wait too long; `room` '
            'is the free CPU of the `endpoints` that accept runs.',
        ),
        'job_cancelled': _info(
            'job, origin',
            'A job was cancelled; `origin` is `caller`, or the control replica '
            'that handed on a cancellation from another entry.',
        ),
        'cancellation_reported': _info(
            'job, result, took_ms',
            'A caller cancelled a job that is not in progress here; `result` '
            'is `reported` if the control replicas hand that on, or `unknown`.',
        ),
        'job_ended': _info(
            'job, verdict, reason, took_ms, goal_ms, guards',
            'A job ended; `guards` lists where each task ran last.',
        ),
        'runs_ordered': _info(
            'job, step, guard, tasks, run, waited_ms, slack_ms, room',
            'Runs were ordered; `room` is the free CPU in millicores.',
        ),
        'run_not_done': _warning(
            'job, step, task, run, guard, outcome, detail',
            'A run ended with an outcome other than `done`.',
        ),
        'task_crashed': _info(
            'job, task, guard, crashes, age_ms, suspects',
            'An endpoint crashed under a run; `crashes` counts those of the '
            'task, `suspects` the tasks there with an earlier one.',
        ),
        'guard_found': _info(
            'guard, resumed, runs',
            'A session with the guard was opened or resumed.',
        ),
        'guard_lost': _warning(
            'guard, runs', 'The link to a guard with a session was closed.'
        ),
        'callers_in_doubt': _warning(
            'silent_ms',
            'No guard was heard for a while, so callers may have left '
            'unnoticed; older jobs get no new runs for a little longer.',
        ),
        'guard_link_closed': _info(
            'guard, links',
            'A guard left the subset of guards that the entry keeps links to.',
        ),
        'bad_guard_address': _warning(
            'detail', 'An announced guard is invalid and is not used.'
        ),
        'entry_drained': _info(
            'requests, connections',
            'The entry stops; `requests` counts those left unanswered.',
        ),
        # Runs at a guard.
        'endpoint_found': _info(
            'endpoint, born_ms, pool, cpu_milli',
            'A new incarnation of the endpoint reported itself.',
        ),
        'endpoint_draining': _info(
            'endpoint', 'The endpoint reported that it takes no new runs.'
        ),
        'endpoint_left': _info(
            'endpoint, draining, runs',
            'The endpoint reported that it is about to end; its runs end by '
            'its lists or with their lease.',
        ),
        'run_refused': _info(
            'job, task, run, entry',
            'Another run of the task has not ended; the refusal is reported '
            'once it has.',
        ),
        'report_ignored': _warning(
            'endpoint',
            'Another endpoint was reported while the known one answers calls.',
        ),
        'endpoint_lost': _warning(
            'reason, detail',
            'The endpoint does not answer the guard.',
        ),
        'endpoint_regained': _info('', 'The endpoint answers the guard again.'),
        'fence_refused': _warning(
            'fence',
            'Another guard process has taken over the endpoint.',
        ),
        'session_opened': _info(
            'entry, resumed, runs',
            'An entry opened or resumed its session.',
        ),
        'stale_session_request': _info(
            'entry',
            'A connection that the entry has given up asked for a session.',
        ),
        'order_ignored': _warning(
            'job, entry',
            'A start order came on a connection without a session.',
        ),
        'session_expired': _warning(
            'entry, runs',
            'An entry was silent for too long; its runs are stopped.',
        ),
        'session_unlinked': _warning(
            'entry, runs',
            'An entry did not reopen its link in time; its runs are stopped.',
        ),
        'start_unanswered': _warning(
            'job, task, run, reason',
            'A start order got no answer; its effect has to be settled.',
        ),
        'run_stalled': _warning(
            'job, task, percent',
            'A run made no progress for too long and is stopped.',
        ),
        'run_revoked': _info(
            'job, task, run, entry, state',
            'A run lost its authority and is stopped.',
        ),
        'revoked_run_ended': _info(
            'job, task, run, detail, after_ms',
            'A run without authority has ended, this long after it lost it.',
        ),
        'run_end_proved': _info(
            'job, step, task, run, entry, outcome, detail, state, proof, '
            'list_age_ms, listed_ms, confirmed_ms, lease_left_ms, '
            'limit_left_ms',
            'A run that is not done has ended at the guard, so its entry may '
            'start the task again. `proof` shows the end: `not_started`, '
            '`start_refused`, `listed_end`, `missing` (from lists requested '
            '`list_age_ms` ago), `leases_expired` or `incarnation_ended`. The '
            'run was at work for sure `listed_ms` ago. `confirmed_ms` is the '
            'time since its start or stop was confirmed, `lease_left_ms` the '
            'longest time left of its leases, negative after their end, and '
            '`limit_left_ms` the time left until the entry may start the task '
            'again without a report.',
        ),
        'former_runs_ended': _info(
            'after_ms, list_age_ms',
            'Lists show no runs of a former guard, `after_ms` after the start '
            'of this one; sessions open from then on, or after 1,000 ms.',
        ),
        'run_end_unreported': _info(
            'job, step, task, run, entry, outcome',
            'The session of the entry expired before it acknowledged the end '
            'of the run, so the entry takes the run for unknown to the guard.',
        ),
        'repeated_start': _info(
            'job, step, task, run, entry, stage, sent_ms',
            'The start of run 2 or higher of a task is `sent`, `confirmed` by '
            'its reply or `listed` by the endpoint, `sent_ms` after it was '
            'requested.',
        ),
        'stopped_run_listed': _warning(
            'job, step, task, run, confirmed_ms, list_age_ms, lease_left_ms',
            'A run is still listed as running, although its stop was confirmed '
            '`confirmed_ms` ago, over 60 ms before the lists were requested.',
        ),
        'orphan_stopped': _info(
            'job, step, task, run, list_age_ms, ended_ms, proof, lead_ms',
            'A run that no session of this guard requested, or that has ended '
            'here, is stopped. Its end was reported `ended_ms` ago with this '
            '`proof`; `lead_ms` is how much newer the lists are than those '
            'that proved the end, negative if they are older.',
        ),
        'run_ended': EventDescription(
            'debug',
            'job, step, task, run, outcome, detail',
            'A run ended, and its outcome is reported to its entry.',
        ),
        'bad_report': _warning(
            'endpoint, detail',
            'A report from the endpoint cannot be decoded.',
        ),
        'log_dropped': _warning(
            'lines',
            'Lines were dropped because the process logged too fast to write.',
        ),
        'metrics_not_served': _warning(
            'detail', 'The port for metrics cannot be opened.'
        ),
        'reloaded': _info('seeds', 'The settings were read again.'),
        'reload_failed': _warning(
            'detail',
            'The settings cannot be read; the previous ones stay in use.',
        ),
    }
)


def events_page() -> str:
    """Return the reference page of the events as Markdown."""
    rows = [
        f'| `{name}` | {event.level} | {event.fields} | {event.meaning} |'
        for name, event in EVENTS.items()
    ]
    return '\n'.join((*_PAGE_HEAD, *rows, ''))


_PAGE_HEAD = (
    '# Events',
    '',
    'Generated from `src/borageward/telemetry/events.py` by',
    '`scripts/reference`. Each line has `t` (wall time in microseconds since',
    'the epoch, increasing within a process), `level`, `event`, `process`',
    'and, from `boragewardd`, `place`, then the fields below. The steps of',
    'tasks list `tasks` as ranges joined by `+`, such as `0-9+12`. Values with',
    'characters other than letters, digits and `_.:/@+-` are quoted as JSON.',
    '`borageward timeline` merges the log files of several processes in causal',
    'order; the steps of tasks are logged at level `debug` only.',
    '',
    '| event | level | fields | meaning |',
    '|---|---|---|---|',
)
