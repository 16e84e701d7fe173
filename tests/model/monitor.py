"""Monitor of the runs at all endpoints, which detects two at the same time."""

from __future__ import annotations

import attrs
import trio


@attrs.frozen
class Event:
    """An event at a time in seconds; ``job`` is empty if it concerns all."""

    time_s: float
    source: str
    text: str
    job: str

    def __str__(self):
        """Return the event as one line."""
        return f'{round(self.time_s, 4)} {self.source} {self.text}'


@attrs.frozen
class Breach:
    """Two runs of a task at the same time, with the events that led there."""

    task: object
    first: str
    second: str
    events: tuple[Event, ...]

    def __str__(self):
        """Return the events, one line each."""
        lines = [f'two runs of {self.task}: {self.first} and {self.second}']
        lines.extend(str(event) for event in self.events)
        return '\n'.join(lines)


class Monitor:
    """Knows which runs are at work at which endpoint.

    Overlapping runs overlap when the later one starts, so each start is
    compared with the runs that are at work at that moment.
    """

    def __init__(self):
        """Start without endpoints."""
        self.breaches: list[Breach] = []
        self.starts = 0
        self._endpoints = []
        self._events: list[Event] = []

    def add_endpoint(self, endpoint):
        """Watch the runs of an endpoint."""
        self._endpoints.append(endpoint)

    def remove_endpoint(self, endpoint):
        """Forget an endpoint that has ended with all its runs."""
        self._endpoints.remove(endpoint)

    def record(self, source, name, fields=None):
        """Record an event of a process, a fault or an endpoint."""
        fields = fields or {}
        text = ' '.join(
            [name, *(f'{key}={item}' for key, item in fields.items())],
        )
        job = fields.get('job', '')
        self._events.append(Event(trio.current_time(), source, text, job))

    def run_started(self, endpoint, ref):
        """Record the start of a run and look for another one at work."""
        self.starts += 1
        self._record_run(endpoint, ref, 'STARTED')
        for other in tuple(self._endpoints):
            other.end_due_runs()
            active = other.running.get(ref.task)
            if other is not endpoint and active is not None:
                self._report(endpoint, ref, other, active.ref)

    def run_ended(self, endpoint, ref, detail):
        """Record the end of a run."""
        self._record_run(endpoint, ref, f'ENDED {detail}')

    def _record_run(self, endpoint, ref, text):
        self.record(
            endpoint.name,
            text,
            {'job': ref.task.job_id, 'task': ref.task.index, 'run': ref.run},
        )

    def _report(self, endpoint, ref, other, other_ref):
        job = ref.task.job_id
        own = [event.time_s for event in self._events if event.job == job]
        events = tuple(
            event
            for event in self._events
            if event.job == job
            or (not event.job and event.time_s >= own[0] - 1)
        )
        self.breaches.append(
            Breach(
                ref.task,
                f'run {other_ref.run} at {other.name}',
                f'run {ref.run} at {endpoint.name}',
                events,
            ),
        )
