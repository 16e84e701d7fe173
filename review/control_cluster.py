"""Control replicas of a small deployment, as separate processes.

Each replica has a loopback address of its own and is started with the command
of the deploy file. ``request`` is the operator's call.
"""

from __future__ import annotations

import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
CALL_TIMEOUT_S = 1.5


def manifest(version: int) -> bytes:
    """Return a manifest with one queue."""
    return json.dumps(
        {
            'version': version,
            'routes': [
                {
                    'name': 'r-1',
                    'host': 'depot.example',
                    'path_prefix': '/salt/',
                    'type': 'non_idempotent',
                    'timeout_ms': 1500 + version,
                    'target_latency_ms': 60,
                    'priority': 0,
                    'service': 'grit',
                    'max_attempts': 3,
                    'stretch': 1.6,
                },
            ],
            'services': [
                {
                    'name': 'grit',
                    'health_path': '/healthz',
                    'max_conns': 64,
                    'protocol': 'h1',
                    'tls': False,
                    'admission_check': True,
                    'standby': False,
                },
            ],
            'limits': {
                'max_header_bytes': 16384,
                'max_body_bytes': 262144,
                'header_timeout_ms': 3000,
                'idle_timeout_ms': 15000,
            },
        },
    ).encode()


class Record:
    """Lines of what was sent and answered, with the time since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._started = time.monotonic()
        self._file = path.open('w', encoding='utf-8')

    def line(self, text: str) -> None:
        """Write one line."""
        now_s = time.monotonic() - self._started
        self._file.write(f'{now_s:8.3f} {text}\n')
        self._file.flush()


class Replica:
    """One control replica with a folder for its disk."""

    def __init__(
        self,
        name: str,
        ip: str,
        ports: tuple[int, int],
        seeds: list[str],
        folder: pathlib.Path,
        *,
        first_start: bool,
    ) -> None:
        self.name = name
        self.ip = ip
        self.address = f'{ip}:{ports[0]}'
        self.link = f'{ip}:{ports[1]}'
        self.data = folder / f'{name}-disk'
        self.log = folder / f'{name}.log'
        self._settings_path = folder / f'{name}.json'
        self._settings = {
            'name': name,
            'availability_zone': f'zone-{name}',
            'host': ip,
            'link_ports': [ports[1], ports[1]],
            'seeds': seeds,
            'first_start': first_start,
            'losses': 1,
            'grace_s': 6,
            'operator_address': self.address,
            'repeat_ms': 1300,
            'data_folder': str(self.data),
        }
        self._child: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        self.data.mkdir(exist_ok=True)
        self._settings_path.write_text(json.dumps(self._settings))
        kept = {'PATH', 'HOME', 'LANG'}
        environment = {
            key: text for key, text in os.environ.items() if key in kept
        }
        environment['BORAGEWARD_CONFIG'] = str(self._settings_path)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        with self.log.open('ab') as output:
            self._child = subprocess.Popen(
                ['python3', '-m', 'borageward_platform', 'control'],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env=environment,
                cwd=ROOT,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self._child is not None and self._child.poll() is None:
            self._child.send_signal(number)

    def lose_disk(self) -> None:
        """Kill the process and empty its disk folder."""
        self.kill()
        shutil.rmtree(self.data)
        self._settings['first_start'] = False

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self._child is not None and self._child.poll() is None:
            self._child.send_signal(signal.SIGKILL)
            self._child.wait()

    def log_text(self) -> str:
        """Return what the process has written."""
        return self.log.read_text(errors='replace') if self.log.exists() else ''


def free_ports(ips: list[str], count: int) -> list[int]:
    """Return ports that are free on all addresses."""
    found: list[int] = []
    while len(found) < count:
        port = random.randrange(20_000, 30_000)
        try:
            for ip in ips:
                with socket.socket() as probe:
                    probe.bind((ip, port))
        except OSError:
            continue
        if port not in found:
            found.append(port)
    return found


def request(
    method: str,
    address: str,
    body: bytes | None = None,
    timeout_s: float = CALL_TIMEOUT_S,
) -> tuple[int, bytes]:
    """Call the operator's interface; follow a 307 twice; status 0 if none."""
    for _ in range(3):
        connection = http.client.HTTPConnection(address, timeout=timeout_s)
        try:
            headers = {'Content-Type': 'application/json'}
            connection.request(method, '/v1/config', body, headers)
            reply = connection.getresponse()
            answer = reply.status, reply.read()
            location = reply.getheader('Location', '')
        except (OSError, http.client.HTTPException):
            return 0, b''
        finally:
            connection.close()
        if answer[0] != 307:
            return answer
        address = location.removeprefix('http://').partition('/')[0]
    return answer
