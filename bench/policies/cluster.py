"""Simulated cluster of entries and guards that use the real policies."""

from __future__ import annotations

import random

from bench.policies.entry import Entry
from bench.policies.events import EventHeap
from bench.policies.guard import Guard
from bench.policies.setup import Counts, Setup, TaskKey
from bench.policies.workload import Job


class Cluster:
    """Entries and guards of one simulation run, in shared virtual time."""

    def __init__(self, setup: Setup, seed: int) -> None:
        """Create the guards and entries; each entry knows all guards."""
        self.setup = setup
        self.events = EventHeap()
        self.counts = Counts()
        self.source = random.Random(seed)
        self.started_tasks: set[TaskKey] = set()
        # Tasks reported as not run by a failed job; they must never start.
        self.not_run_tasks: set[TaskKey] = set()
        deployment = setup.deployment
        places = deployment.places
        self.guards = [
            Guard(self, f'worker-{number}', places[number % len(places)], speed)
            for number, speed in enumerate(deployment.speeds)
        ]
        self.entries = [
            Entry(self, number, places[number % len(places)])
            for number in range(deployment.entries)
        ]

    def delay_ms(self, first_place: str, second_place: str) -> float:
        """Return the one-way message delay between two places."""
        return (
            0.1
            if first_place == second_place
            else self.setup.deployment.place_delay_ms
        )

    def run(self, jobs: list[Job]) -> None:
        """Submit all jobs on arrival and run until no event is left."""
        for job in jobs:
            job.unfinished_tasks = len(job.sizes_ms)
            arrival = job.arrival_ms + self.setup.deployment.client_delay_ms
            self.events.call_at(arrival, self._submit, job)
        self.events.run()

    def _submit(self, job: Job) -> None:
        self.entries[job.entry].submit(job)
