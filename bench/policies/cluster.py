"""Entries and guards around the product's decision objects."""

from __future__ import annotations

import random

from bench.policies.entry import Entry
from bench.policies.events import EventHeap
from bench.policies.guard import Guard
from bench.policies.setup import Counts, Setup, TaskKey
from bench.policies.workload import Job


class Cluster:
    """Entries and guards that share virtual time."""

    def __init__(self, setup: Setup, seed: int) -> None:
        """Link every entry to every guard."""
        self.setup = setup
        self.events = EventHeap()
        self.counts = Counts()
        self.source = random.Random(seed)
        self.started: set[TaskKey] = set()
        # Tasks that a failed job reports as not run; none may start later.
        self.refused: set[TaskKey] = set()
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

    def delay_ms(self, one: str, other: str) -> float:
        """Return the one-way delay between two places."""
        return 0.1 if one == other else self.setup.deployment.place_delay_ms

    def run(self, jobs: list[Job]) -> None:
        """Run all jobs to their end."""
        for job in jobs:
            job.left = len(job.sizes_ms)
            arrival = job.arrival_ms + self.setup.deployment.client_delay_ms
            self.events.at(arrival, self._arrive, job)
        self.events.run()

    def _arrive(self, job: Job) -> None:
        self.entries[job.entry].submit(job)
