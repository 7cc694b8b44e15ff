"""The file of the write-ahead log: appending all or nothing, replacing it, changing a record in place.

What the kernel has taken outlasts the process, so nothing is synced.
"""

import errno
import os
from typing import Self

from swiftthread.storage.records import KIND_OFFSET

FILE_NAME = "ledger"
NEW_FILE_NAME = "ledger.new"
FILE_MODE = 0o600


class LogFileError(OSError):
    """The log file could not be changed; `strerror` says why and `filename` names the file."""

    @classmethod
    def from_os_error(cls, error: OSError, path: str) -> Self:
        """The same error, with the path of the file."""
        return cls(error.errno, error.strerror, path)


class LogFile:
    """Owner of the file and of its descriptor.

    Attributes:
        path: Path of the file.
        size: Bytes of whole records in it.
    """

    def __init__(self, folder: str, max_bytes: int) -> None:
        """Open the file, or make it.

        Raises:
            OSError: It cannot be opened, or what an unfinished replacement left cannot be removed.
        """
        self.path = os.path.join(folder, FILE_NAME)
        self.size = 0
        self._new_path = os.path.join(folder, NEW_FILE_NAME)
        self._max_bytes = max_bytes
        self._has_partial_write = False
        if os.path.exists(self._new_path):
            os.unlink(self._new_path)
        self._descriptor = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_APPEND, FILE_MODE)

    def close(self) -> None:
        """Close the file."""
        os.close(self._descriptor)

    def read(self) -> bytes:
        """The contents of the file, all of which then count as whole records."""
        with open(self.path, "rb") as source:
            data = source.read()
        self.size = len(data)
        return data

    def has_room_for(self, length: int) -> bool:
        """Whether so many bytes more stay within the file's limit."""
        return self.size + length <= self._max_bytes

    def append(self, data: bytes) -> int:
        """Append whole records, all of them or nothing; returns the offset at which they begin.

        Raises:
            LogFileError: They could not be written.
        """
        self._has_partial_write = True
        try:
            _write_all(self._descriptor, data)
        except OSError as error:
            self.remove_partial_write()
            raise LogFileError.from_os_error(error, self.path) from error
        self._has_partial_write = False
        offset = self.size
        self.size += len(data)
        return offset

    def remove_partial_write(self) -> None:
        """Cut off what an append left that broke off and could not be undone then.

        Raises:
            LogFileError: It cannot be cut off now either.
        """
        if self._has_partial_write:
            self.truncate(self.size)

    def truncate(self, size: int) -> None:
        """Cut the file off after `size` bytes.

        Raises:
            LogFileError: The file stays as it is.
        """
        try:
            os.ftruncate(self._descriptor, size)
        except OSError as error:
            raise LogFileError.from_os_error(error, self.path) from error
        self.size = size
        self._has_partial_write = False

    def replace(self, data: bytes) -> None:
        """Put a file with these contents in the place of this one, atomically.

        Raises:
            LogFileError: The file stays as it is.
        """
        try:
            descriptor = self._write_new_file(data)
            os.close(self._descriptor)
        except OSError as error:
            raise LogFileError.from_os_error(error, self.path) from error
        self._descriptor = descriptor
        self.size = len(data)
        self._has_partial_write = False

    def _write_new_file(self, data: bytes) -> int:
        """Write the new file and rename it to `path`; returns its open descriptor."""
        flags = os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND
        descriptor = os.open(self._new_path, flags, FILE_MODE)
        try:
            _write_all(descriptor, data)
            os.replace(self._new_path, self.path)
        except BaseException:
            os.close(descriptor)
            os.unlink(self._new_path)
            raise
        return descriptor

    def overwrite_kind(self, record_offset: int, kind: bytes) -> None:
        """Change the kind of the record at an offset; that needs no room on the disk.

        Raises:
            LogFileError: The record stays as it is.
        """
        try:
            # A descriptor of its own: the other one appends whatever the offset.
            descriptor = os.open(self.path, os.O_WRONLY)
            try:
                written = os.pwrite(descriptor, kind, record_offset + KIND_OFFSET)
            finally:
                os.close(descriptor)
        except OSError as error:
            raise LogFileError.from_os_error(error, self.path) from error
        if written != len(kind):
            raise LogFileError(errno.EIO, os.strerror(errno.EIO), self.path)


def _write_all(descriptor: int, data: bytes) -> None:
    written = 0
    while written < len(data):
        written += os.write(descriptor, data[written:])
