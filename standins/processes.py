"""Processes of a local deployment, started and stopped by their id."""

from __future__ import annotations

import os
import pathlib
import signal
import subprocess
import sys
import time

_STOP_TIMEOUT_S = 20.0
_ROOT = pathlib.Path(__file__).resolve().parent.parent


class LocalProcess:
    """One child process with its log file."""

    def __init__(self, name: str, arguments: list[str], log: pathlib.Path):
        """Prepare a process that runs a Python module with arguments."""
        self.name = name
        self._arguments = arguments
        self._log = log
        self._child: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._running().pid

    def start(self) -> None:
        """Start the process."""
        environment = dict(os.environ)
        environment['PYTHONPATH'] = os.pathsep.join(
            (f'{_ROOT}/src', f'{_ROOT}')
        )
        with self._log.open('ab') as output:
            self._child = subprocess.Popen(
                [sys.executable, '-m', *self._arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env=environment,
                cwd=_ROOT,
            )

    def alive(self) -> bool:
        """Tell whether the process runs."""
        return self._child is not None and self._child.poll() is None

    def kill(self) -> None:
        """End the process without notice."""
        self._running().kill()
        self._running().wait()

    def freeze(self) -> None:
        """Stop the process from running until ``thaw``."""
        self._running().send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let a frozen process run again."""
        self._running().send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Ask the process to shut down and return at once."""
        self._running().terminate()

    def wait(self, timeout_s: float = _STOP_TIMEOUT_S) -> int:
        """Return the exit status of an ending process."""
        return self._running().wait(timeout_s)

    def stop(self) -> None:
        """Shut the process down; kill it when it does not end in time."""
        if not self.alive():
            return
        self.thaw()
        self.terminate()
        try:
            self.wait()
        except subprocess.TimeoutExpired:
            self.kill()

    def cpu_seconds(self) -> float:
        """Return the processor time that the process has used."""
        stat = pathlib.Path(f'/proc/{self.pid}/stat').read_text('ascii')
        fields = stat.rpartition(')')[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf('SC_CLK_TCK')

    def memory_kib(self) -> int:
        """Return the resident memory of the process in KiB."""
        status = pathlib.Path(f'/proc/{self.pid}/status').read_text('ascii')
        for line in status.splitlines():
            if line.startswith('VmRSS:'):
                return int(line.split()[1])
        return 0

    def _running(self) -> subprocess.Popen[bytes]:
        if self._child is None:
            raise RuntimeError(f'{self.name} was not started')
        return self._child


def wait_until(condition, timeout_s: float, what: str) -> float:
    """Poll a condition and return the seconds it took.

    Raises ``TimeoutError`` naming what did not happen.
    """
    started = time.monotonic()
    while not condition():
        if time.monotonic() - started > timeout_s:
            raise TimeoutError(f'{what} did not happen in {timeout_s} s')
        time.sleep(0.02)
    return time.monotonic() - started
