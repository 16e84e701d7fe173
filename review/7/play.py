"""Two machines of control freeze for seconds, and a third loses its disk."""

from __future__ import annotations

import json
import os
import pathlib
import random
import re
import signal
import sys
import tempfile
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from control_cluster import (  # noqa: E402
    Record,
    Replica,
    free_ports,
    manifest,
    request,
)

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
# The second machine freezes this long after the first one.
SECOND_FREEZE_S = 2.33
# All machines are back this long after the first freeze.
BACK_S = 7.0
DISK_LOSS_DOWN_S = 1.0
# Bounds of the installation: recovery_s is 12. The read back has more time.
READ_BACK_S = 20.0


class CannotRun(Exception):
    """The deployment did not reach the state that the case begins with."""


def wait_for(condition, timeout_s: float, what: str):
    """Return the first true result of a condition."""
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        result = condition()
        if result:
            return result
        time.sleep(0.01)
    raise CannotRun(what)


def publish(record: Record, replicas: list[Replica], version: int) -> None:
    """Send a manifest to one node after the other until it is accepted."""
    end = time.monotonic() + 15
    while time.monotonic() < end:
        for replica in replicas:
            status, _ = request('PUT', replica.address, manifest(version))
            record.line(f'PUT version {version} to {replica.name}: {status}')
            if status == 200:
                return
        time.sleep(0.2)
    raise CannotRun(f'version {version} was not accepted')


def find_leader(replicas: list[Replica]) -> Replica | None:
    """Return the replica whose log names it the newest leader."""
    started = [
        (int(term), replica)
        for replica in replicas
        for term in re.findall(r'event=leader_started .*?term=(\d+)', replica.log_text())
    ]
    return max(started, key=lambda item: item[0])[1] if started else None


def read_back(record: Record, replicas: list[Replica], version: int) -> bool:
    """Return whether any node returns a version that is not older."""
    end = time.monotonic() + READ_BACK_S
    while time.monotonic() < end:
        for replica in replicas:
            status, body = request('GET', replica.address)
            found = json.loads(body)['version'] if status == 200 else '-'
            record.line(f'GET from {replica.name}: {status}, version {found}')
            if status == 200 and found >= version:
                return True
        time.sleep(1)
    return False


def disturb(
    record: Record,
    leader: Replica,
    frozen: Replica,
    wiped: Replica,
    spare: Replica,
) -> None:
    """Freeze a voter and the spare, and lose the disk of another voter."""
    started = time.monotonic()
    frozen.signal(signal.SIGSTOP)
    record.line(f'{frozen.name} (voter) is frozen; {leader.name} leads')
    time.sleep(SECOND_FREEZE_S)
    spare.signal(signal.SIGSTOP)
    record.line(f'{spare.name} (spare) is frozen')
    while time.monotonic() - started < 4.0:
        if re.search(r'event=voter_removed .*cause=silent', leader.log_text()):
            record.line(f'{leader.name} has removed the frozen voter')
            break
        time.sleep(0.01)
    time.sleep(0.5)
    wiped.lose_disk()
    record.line(f'{wiped.name} (voter) has lost its disk')
    time.sleep(DISK_LOSS_DOWN_S)
    wiped.start()
    record.line(f'{wiped.name} starts with an empty disk')
    time.sleep(max(0, BACK_S - (time.monotonic() - started)))
    spare.signal(signal.SIGCONT)
    frozen.signal(signal.SIGCONT)
    record.line(f'{frozen.name} and {spare.name} go on; all are back')


def play(record: Record, folder: pathlib.Path, replicas: list[Replica]) -> bool:
    """Play the case; return whether the rule held."""
    net = f'127.{random.randrange(1, 250)}.{random.randrange(1, 250)}'
    ips = [f'{net}.{number}' for number in range(1, 5)]
    ports = tuple(free_ports(ips, 2))
    seeds = [f'{ip}:{ports[0]}' for ip in ips[:3]]
    for number, ip in enumerate(ips):
        replicas.append(
            Replica(
                f'core-{number + 1}', ip, ports, seeds, folder,
                first_start=number < 3,
            ),
        )
    voters, spare = replicas[:3], replicas[3]
    for replica in voters:
        replica.start()
    publish(record, voters, 1)
    spare.start()
    wait_for(
        lambda: any('event=replica_joined' in item.log_text() for item in voters),
        10,
        'the spare replica did not join',
    )
    time.sleep(1.5)
    publish(record, voters, 2)
    leader = find_leader(voters)
    if leader is None:
        raise CannotRun('no leader')
    frozen, wiped = [item for item in voters if item is not leader]
    if TROUBLE:
        disturb(record, leader, frozen, wiped, spare)
    else:
        time.sleep(BACK_S)
        record.line('no disruption')
    held = read_back(record, replicas, 2)
    for replica in replicas:
        events = re.findall(
            r'event=(?:voter_\w+|replica_\w+|leader_started|majority_lost) .*',
            replica.log_text(),
        )
        for event in events:
            record.line(f'log of {replica.name}: {event}')
    return held


def main() -> int:
    record = Record(HERE / 'record.txt')
    record.line(f'TROUBLE={int(TROUBLE)}')
    replicas: list[Replica] = []
    status = 2
    with tempfile.TemporaryDirectory() as name:
        try:
            held = play(record, pathlib.Path(name), replicas)
            status = 0 if held else 1
            record.line('the rule held' if held else 'CONFIG is broken')
        except Exception as error:  # Whatever it is, no rule was judged.
            record.line(f'could not run: {type(error).__name__}: {error}')
        finally:
            for replica in replicas:
                replica.signal(signal.SIGCONT)
                replica.kill()
    return status


if __name__ == '__main__':
    sys.exit(main())
