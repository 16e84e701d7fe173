"""Local deployment of control replicas, entries, guards and runners."""

from __future__ import annotations

import functools
import json
import pathlib
from typing import Any

import httpx

from standins.caller import job_body, submit
from standins.operator import create_service
from standins.ports import free_addresses
from standins.processes import LocalProcess, wait_until

# Long, because a dozen processes start slowly on a busy machine; it only has
# to end the wait when a process hangs.
_READY_TIMEOUT_S = 60.0
_PROBE_DEADLINE_MS = 5000
_PLACES = ('nadi-depot', 'lautoka-yard', 'sigatoka-shed', 'nadrau-pass')


class Deployment:
    """Processes on 127.0.0.1 that share a folder for settings, data and logs.

    Each guard has a runner stand-in of its own, which writes its starts to
    ``runner-N.journal`` in the folder.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        controls: int = 1,
        entries: int = 2,
        guards: int = 3,
        speeds: tuple[float, ...] = (1.0,),
        slots: int = 8,
        service: str = 'dispatch',
    ) -> None:
        """Write the settings of all processes into the folder.

        ``controls``, ``entries`` and ``guards`` are numbers of processes,
        ``slots`` holds for each guard and its runner. ``speeds`` are factors
        of the runners' speed, assigned to them in turn.
        """
        self.folder = folder
        self.service = service
        self.slots = slots
        self._speeds = speeds
        self.controls: list[LocalProcess] = []
        self.entries: list[LocalProcess] = []
        self.guards: list[LocalProcess] = []
        self.runners: list[LocalProcess] = []
        self.control_addresses: list[dict[str, str]] = []
        self.entry_addresses: list[str] = []
        self.runner_addresses: list[str] = []
        self._write_controls(controls)
        self._write_entries(entries)
        for index in range(guards):
            self._write_guard(index)

    @property
    def control_grpc_addresses(self) -> list[str]:
        """Return the control addresses that entries and operators call."""
        return [replica['address'] for replica in self.control_addresses]

    @property
    def processes(self) -> list[LocalProcess]:
        """Return all processes in the order in which ``start`` starts them."""
        return [*self.controls, *self.runners, *self.guards, *self.entries]

    def start(self) -> None:
        """Start all processes and wait until jobs of the service complete.

        Raises ``TimeoutError`` if an entry does not get there in time and
        ``RuntimeError`` if the service cannot be created.
        """
        for process in self.processes:
            process.start()
        create_service(self.control_grpc_addresses, self.service)
        self.wait_ready()
        self.wait_service()

    def wait_ready(self) -> None:
        """Wait until every entry reports that it is ready for jobs."""
        for address in self.entry_addresses:
            self.wait_ready_at(address)

    def wait_ready_at(self, address: str) -> None:
        """Wait until the entry at an address reports that it is ready.

        Raises ``TimeoutError`` if it does not in time.
        """
        wait_until(
            lambda: self.ready(address),
            _READY_TIMEOUT_S,
            f'readiness of entry {address}',
        )

    def wait_service(self) -> None:
        """Wait until every entry completes a job of the service.

        This needs the service in the entry's configuration and a link to a
        guard. A deployment without guards is not waited for. Raises
        ``TimeoutError`` if an entry does not get there in time.
        """
        for address in self.entry_addresses:
            wait_until(
                functools.partial(self._completes_job, address),
                _READY_TIMEOUT_S,
                f'first complete job of entry {address}',
            )

    def stop(self) -> None:
        """Shut down all processes, the last started first."""
        for process in reversed(self.processes):
            process.stop()

    def ready(self, address: str) -> bool:
        """Return whether the entry at an address reports that it is ready."""
        try:
            answer = httpx.get(f'http://{address}/readyz', timeout=1)
        except httpx.HTTPError:
            return False
        return answer.status_code == httpx.codes.OK

    def journal_starts(self) -> list[tuple[str, int]]:
        """Return the job id and task index of every recorded start."""
        starts = []
        for journal in sorted(self.folder.glob('runner-*.journal')):
            for line in journal.read_text('utf-8').splitlines():
                job, task, _tag = line.split(' ', maxsplit=2)
                starts.append((job, int(task)))
        return starts

    def _completes_job(self, address: str) -> bool:
        if not self.guards:
            return True
        body = job_body(self.service, [1.0], _PROBE_DEADLINE_MS)
        return submit(address, body)['state'] == 'complete'

    def _write_controls(self, count: int) -> None:
        addresses = free_addresses(2 * count)
        self.control_addresses = [
            {'address': pair[0], 'member_address': pair[1]}
            for pair in zip(addresses[:count], addresses[count:], strict=True)
        ]
        voters = [
            {'voter_id': f'control-{index}', **address}
            for index, address in enumerate(self.control_addresses)
        ]
        for voter in voters:
            name = voter['voter_id']
            section = {
                **voter,
                'data_folder': str(self.folder / name),
                'voters': voters,
            }
            self.controls.append(
                self._daemon_process(name, 0, {'control': section})
            )

    def _write_entries(self, count: int) -> None:
        addresses = free_addresses(2 * count)
        self.entry_addresses = addresses[:count]
        for index in range(count):
            name = f'entry-{index}'
            section = {
                'name': name,
                'http_address': addresses[index],
                'link_address': addresses[count + index],
                'control': self.control_addresses,
            }
            self.entries.append(
                self._daemon_process(name, index, {'entry': section})
            )

    def _write_guard(self, index: int) -> None:
        link_address, runner_address = free_addresses(2)
        self.runner_addresses.append(runner_address)
        self.runners.append(self._runner_process(index, runner_address))
        section = {
            'worker': f'worker-{index}',
            'service': self.service,
            'link_address': link_address,
            'runner_address': runner_address,
            'control': self.control_addresses,
            'slots': self.slots,
        }
        name = f'guard-{index}'
        self.guards.append(
            self._daemon_process(name, index, {'guard': section})
        )

    def _runner_process(self, index: int, address: str) -> LocalProcess:
        speed = self._speeds[index % len(self._speeds)]
        arguments = [
            'standins.runner',
            '--address',
            address,
            '--slots',
            str(self.slots),
            '--speed',
            str(speed),
            '--journal',
            str(self.folder / f'runner-{index}.journal'),
        ]
        name = f'runner-{index}'
        return LocalProcess(name, arguments, self.folder / f'{name}.log')

    def _daemon_process(
        self,
        name: str,
        index: int,
        sections: dict[str, Any],
    ) -> LocalProcess:
        settings = {
            'region': 'viti-west',
            'place': _PLACES[index % len(_PLACES)],
            'tls': {'mode': 'off'},
            'log': {'path': str(self.folder / f'{name}.log')},
            **sections,
        }
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(settings, indent=2), 'utf-8')
        arguments = ['borageward.daemon', str(path)]
        return LocalProcess(name, arguments, self.folder / f'{name}.err')
