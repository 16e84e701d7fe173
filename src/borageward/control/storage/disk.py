"""Durable access to the files in the data folder of a replica."""

from __future__ import annotations

import contextlib
import errno
import os
import pathlib
from collections.abc import Callable, Iterator
from typing import Protocol

import trio

from borageward.control.storage.errors import disk_full, storage_failed
from borageward.failures import Failure

_TEMPORARY_SUFFIX = '.new'
_FILE_MODE = 0o640
_DISK_FULL_ERRNOS = frozenset((errno.ENOSPC, errno.EDQUOT))


class Disk(Protocol):
    """Named files whose changes are durable once the call returns.

    A change returns ``DISK_FULL`` when there was no space and the file is as
    it was before. Any method returns ``STORAGE_FAILED`` on another error;
    after a change that returned it, the content of the disk is unknown.
    """

    async def names(self) -> tuple[str, ...] | Failure:
        """Return the sorted names of all files."""

    async def read(self, name: str) -> bytes | Failure:
        """Return the content of a file, empty if the file does not exist."""

    async def append(self, name: str, addition: bytes) -> Failure | None:
        """Append bytes to a file, which is created if it does not exist."""

    async def replace(self, name: str, document: bytes) -> Failure | None:
        """Replace the content of a file atomically."""

    async def truncate(self, name: str, length: int) -> Failure | None:
        """Truncate a file to a length in bytes."""

    async def remove(self, name: str) -> Failure | None:
        """Remove a file; a file that does not exist is no error."""


class FileDisk:
    """Disk that keeps its files in one folder.

    File operations run in a worker thread, so that a slow sync does not block
    the event loop.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        """Use a folder; ``names`` and ``replace`` create it if missing."""
        self._folder = folder
        self._open_name = ''
        self._descriptor = -1

    async def names(self) -> tuple[str, ...] | Failure:
        """Return the sorted names of all files."""
        try:
            return await trio.to_thread.run_sync(self._list)
        except OSError as error:
            return _to_failure(error)

    async def read(self, name: str) -> bytes | Failure:
        """Return the content of a file, empty if the file does not exist."""
        try:
            return await trio.to_thread.run_sync(self._read, name)
        except OSError as error:
            return _to_failure(error)

    async def append(self, name: str, addition: bytes) -> Failure | None:
        """Append bytes to a file, which is created if it does not exist."""
        return await _run_change(lambda: self._append(name, addition))

    async def replace(self, name: str, document: bytes) -> Failure | None:
        """Replace the content of a file atomically, by a rename."""
        return await _run_change(lambda: self._replace(name, document))

    async def truncate(self, name: str, length: int) -> Failure | None:
        """Truncate a file to a length in bytes."""
        return await _run_change(lambda: self._truncate(name, length))

    async def remove(self, name: str) -> Failure | None:
        """Remove a file; a file that does not exist is no error."""
        return await _run_change(lambda: self._remove(name))

    def _list(self) -> tuple[str, ...]:
        self._folder.mkdir(parents=True, exist_ok=True)
        names = (path.name for path in self._folder.iterdir())
        return tuple(
            sorted(
                name for name in names if not name.endswith(_TEMPORARY_SUFFIX)
            ),
        )

    def _read(self, name: str) -> bytes:
        path = self._folder / name
        return path.read_bytes() if path.exists() else b''

    def _append(self, name: str, addition: bytes) -> None:
        descriptor = self._descriptor_of(name)
        length = os.fstat(descriptor).st_size
        try:
            _write_all(descriptor, addition)
        except OSError:
            os.ftruncate(descriptor, length)
            _sync(descriptor)
            raise
        _sync(descriptor)

    def _replace(self, name: str, document: bytes) -> None:
        temporary = self._folder / f'{name}{_TEMPORARY_SUFFIX}'
        self._folder.mkdir(parents=True, exist_ok=True)
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC
        with _opened(temporary, flags) as descriptor:
            _write_all(descriptor, document)
            _sync(descriptor)
        temporary.replace(self._folder / name)
        self._sync_folder()

    def _truncate(self, name: str, length: int) -> None:
        descriptor = self._descriptor_of(name)
        os.ftruncate(descriptor, length)
        _sync(descriptor)

    def _remove(self, name: str) -> None:
        if name == self._open_name:
            self._close()
        (self._folder / name).unlink(missing_ok=True)
        self._sync_folder()

    def _descriptor_of(self, name: str) -> int:
        """Return a descriptor of a file, which stays open for the next call.

        Only the file used last stays open: usually the newest log segment.
        """
        if name != self._open_name:
            self._close()
            path = self._folder / name
            created = not path.exists()
            flags = os.O_RDWR | os.O_CREAT | os.O_APPEND
            self._descriptor = os.open(path, flags, _FILE_MODE)
            self._open_name = name
            if created:
                self._sync_folder()
        return self._descriptor

    def _close(self) -> None:
        if self._open_name:
            os.close(self._descriptor)
            self._open_name = ''

    def _sync_folder(self) -> None:
        with _opened(self._folder, os.O_RDONLY) as descriptor:
            _sync(descriptor)


class _SyncError(OSError):
    """A sync failed.

    The content of the disk is unknown then, even if the error says that the
    disk is full, so this is never reported as ``DISK_FULL``.
    """


@contextlib.contextmanager
def _opened(path: pathlib.Path, flags: int) -> Iterator[int]:
    descriptor = os.open(path, flags, _FILE_MODE)
    with contextlib.ExitStack() as stack:
        stack.callback(os.close, descriptor)
        yield descriptor


def _sync(descriptor: int) -> None:
    try:
        os.fdatasync(descriptor)
    except OSError as error:
        raise _SyncError(error.errno, f'sync failed: {error}') from error


def _write_all(descriptor: int, document: bytes) -> None:
    remaining = memoryview(document)
    while remaining:
        written = os.write(descriptor, remaining)
        remaining = remaining[written:]


async def _run_change(change: Callable[[], None]) -> Failure | None:
    try:
        await trio.to_thread.run_sync(change)
    except OSError as error:
        return _to_failure(error)
    return None


def _to_failure(error: OSError) -> Failure:
    full = error.errno in _DISK_FULL_ERRNOS and not isinstance(
        error, _SyncError
    )
    return disk_full(str(error)) if full else storage_failed(str(error))
