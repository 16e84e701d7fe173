"""Child processes of a local deployment."""

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
    """Child process that runs a Python module and appends to a log file.

    Methods that need the process raise ``RuntimeError`` before its first start.
    """

    def __init__(self, name: str, arguments: list[str], log: pathlib.Path):
        """Set what to run without starting it.

        ``arguments`` hold the module name and its arguments; ``log`` receives
        standard output and standard error.
        """
        self.name = name
        self._arguments = arguments
        self._log = log
        self._child: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Return the process id of the latest start."""
        return self._started_child().pid

    def start(self) -> None:
        """Start the process, also again after it has ended."""
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
        """Return whether the process was started and has not ended."""
        return self._child is not None and self._child.poll() is None

    def kill(self) -> None:
        """Kill the process with SIGKILL and wait for its end."""
        self._started_child().kill()
        self._started_child().wait()

    def freeze(self) -> None:
        """Suspend the process with SIGSTOP until ``thaw``."""
        self._started_child().send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume a frozen process with SIGCONT."""
        self._started_child().send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Send SIGTERM and return without waiting for the end."""
        self._started_child().terminate()

    def wait(self, timeout_s: float = _STOP_TIMEOUT_S) -> int:
        """Wait for the end of the process and return its exit status.

        Raises ``subprocess.TimeoutExpired`` if it still runs after the timeout.
        """
        return self._started_child().wait(timeout_s)

    def stop(self) -> None:
        """Shut down the process; kill it if it does not end in time."""
        if not self.alive():
            return
        self.thaw()
        self.terminate()
        try:
            self.wait()
        except subprocess.TimeoutExpired:
            self.kill()

    def cpu_seconds(self) -> float:
        """Return the user and system processor time used so far."""
        stat = pathlib.Path(f'/proc/{self.pid}/stat').read_text('ascii')
        fields = stat.rpartition(')')[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf('SC_CLK_TCK')

    def memory_kib(self) -> int:
        """Return the resident memory in KiB, or 0 if it is not reported."""
        status = pathlib.Path(f'/proc/{self.pid}/status').read_text('ascii')
        for line in status.splitlines():
            if line.startswith('VmRSS:'):
                return int(line.split()[1])
        return 0

    def _started_child(self) -> subprocess.Popen[bytes]:
        if self._child is None:
            raise RuntimeError(f'{self.name} was not started')
        return self._child


def wait_until(condition, timeout_s: float, awaited: str) -> float:
    """Poll a condition until it is true and return the seconds that took.

    Raises ``TimeoutError``, which names ``awaited``, after the timeout.
    """
    started = time.monotonic()
    while not condition():
        if time.monotonic() - started > timeout_s:
            raise TimeoutError(f'{awaited} not seen within {timeout_s} s')
        time.sleep(0.02)
    return time.monotonic() - started
