"""Ejection of failing workers, and jobs that fail on every worker."""

from __future__ import annotations

import random

from borageward.configuration import Limits
from borageward.policy.false_trips import false_trips_per_day
from borageward.policy.outliers import PeerOutlierDetector

WORKERS = tuple('abcdefghij')


def _detector():
    detector = PeerOutlierDetector(random.Random(1), Limits())
    for worker in WORKERS:
        for number in range(24):
            detector.record(worker, b'ok%d' % number, failed=False, now_ms=0)
    return detector


def _fail(detector, worker, count, jobs=100):
    for number in range(count):
        job_id = b'%s%d' % (worker.encode(), number % jobs)
        detector.record(worker, job_id, failed=True, now_ms=number)


def test_worker_that_fails_everything_gets_only_probes():
    """Guards against a failing worker that gets most of the tasks.

    A worker that fails tasks at once always has free slots.
    """
    detector = _detector()
    _fail(detector, 'a', 3)
    assert detector.blocked(WORKERS, {}, 3) == {'a'}
    _fail(detector, 'a', 5)
    assert detector.is_ejected('a')
    assert not detector.blocked(WORKERS, {}, 2000)


def test_probe_interval_grows():
    """Guards against a probe interval that stays short while probes fail."""
    detector = _detector()
    _fail(detector, 'a', 8)
    detector.record('a', b'probe', failed=True, now_ms=2000)
    assert detector.blocked(WORKERS, {}, 2999) == {'a'}


def test_job_that_fails_everywhere_ejects_no_worker():
    """Guards against ejection of healthy workers by jobs that always fail."""
    detector = _detector()
    for number in range(10):
        for worker in WORKERS:
            bad = b'bad%d' % (number % 4)
            detector.record(worker, bad, failed=True, now_ms=0)
    assert detector.ejection_count == 0


def test_failures_of_one_job_do_not_eject():
    """Guards against ejection of the only worker that ran a failing job."""
    detector = _detector()
    _fail(detector, 'a', 24, jobs=1)
    assert not detector.is_ejected('a')


def test_common_failures_eject_no_worker():
    """Guards against ejections when all workers have the same failure share."""
    detector = _detector()
    for number in range(24):
        for worker in WORKERS:
            failed = number % 5 > 1
            job_id = b'%s%d' % (worker.encode(), number)
            detector.record(worker, job_id, failed, number)
    assert detector.ejection_count == 0


def test_blocked_workers_stay_within_the_share():
    """Guards against a detector that blocks most of the workers."""
    detector = _detector()
    for worker in WORKERS[:6]:
        _fail(detector, worker, 8)
    assert len(detector.blocked(WORKERS, {}, 8)) == 3


def test_recovered_worker_returns_after_good_probes():
    """Guards against a worker that stays ejected after it has recovered."""
    detector = _detector()
    _fail(detector, 'a', 8)
    for number in range(3):
        detector.record('a', b'good%d' % number, failed=False, now_ms=9000)
    assert not detector.is_ejected('a')


def test_default_window_meets_the_false_trip_target():
    """Guards against a window that ejects healthy workers by chance."""
    limits = Limits()
    window, failures = limits.outlier_window, limits.outlier_failures
    trips = false_trips_per_day(window, failures, 0.05, 200)
    assert trips * 100 < 1
