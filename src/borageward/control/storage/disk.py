"""The data folder of one replica."""

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
_NO_SPACE = frozenset((errno.ENOSPC, errno.EDQUOT))


class Disk(Protocol):
    """Named files; every change is durable when its call returns.

    A change returns ``DISK_FULL`` when it was undone for lack of space, and
    ``STORAGE_FAILED`` when nobody can tell what is on the disk.
    """

    async def names(self) -> tuple[str, ...] | Failure:
        """Return the names of all files, sorted."""

    async def read(self, name: str) -> bytes | Failure:
        """Return a file; a missing one is empty."""

    async def append(self, name: str, addition: bytes) -> Failure | None:
        """Append to a file, which is created when missing."""

    async def replace(self, name: str, document: bytes) -> Failure | None:
        """Replace a file as a whole."""

    async def truncate(self, name: str, length: int) -> Failure | None:
        """Cut a file to a length in bytes."""

    async def remove(self, name: str) -> Failure | None:
        """Remove a file."""


class FileDisk:
    """Files of one folder, written and synced in a thread."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Use a folder, which is created by the first change."""
        self._folder = folder
        self._open_name = ''
        self._descriptor = -1

    async def names(self) -> tuple[str, ...] | Failure:
        """Return the names of all files, sorted."""
        try:
            return await trio.to_thread.run_sync(self._list)
        except OSError as error:
            return _failure(error)

    async def read(self, name: str) -> bytes | Failure:
        """Return a file; a missing one is empty."""
        try:
            return await trio.to_thread.run_sync(self._read, name)
        except OSError as error:
            return _failure(error)

    async def append(self, name: str, addition: bytes) -> Failure | None:
        """Append to a file, which is created when missing."""
        return await _run(lambda: self._append(name, addition))

    async def replace(self, name: str, document: bytes) -> Failure | None:
        """Replace a file as a whole."""
        return await _run(lambda: self._replace(name, document))

    async def truncate(self, name: str, length: int) -> Failure | None:
        """Cut a file to a length in bytes."""
        return await _run(lambda: self._cut(name, length))

    async def remove(self, name: str) -> Failure | None:
        """Remove a file."""
        return await _run(lambda: self._remove(name))

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

    def _cut(self, name: str, length: int) -> None:
        descriptor = self._descriptor_of(name)
        os.ftruncate(descriptor, length)
        _sync(descriptor)

    def _remove(self, name: str) -> None:
        if name == self._open_name:
            self._close()
        (self._folder / name).unlink(missing_ok=True)
        self._sync_folder()

    def _descriptor_of(self, name: str) -> int:
        """Return the open file of the log segment in use."""
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
    """A sync failed; what the disk holds is unknown, also when it is full."""


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


async def _run(change: Callable[[], None]) -> Failure | None:
    try:
        await trio.to_thread.run_sync(change)
    except OSError as error:
        return _failure(error)
    return None


def _failure(error: OSError) -> Failure:
    full = error.errno in _NO_SPACE and not isinstance(error, _SyncError)
    return disk_full(str(error)) if full else storage_failed(str(error))
