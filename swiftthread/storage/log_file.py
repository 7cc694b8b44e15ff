"""The file of the write-ahead log."""

# It has atomic appends, replacement of the file, and changing a record in place. Data written to the kernel
# survives the death of the process, so the file is not synced to the disk.

import errno
import os
from typing import Self

from swiftthread.storage.records import KIND_OFFSET

FILE_NAME = "ledger"
NEW_FILE_NAME = "ledger.new"
FILE_MODE = 0o600


class LogFileError(OSError):
    """The log file could not be changed."""

    # `strerror` is the reason and `filename` the path of the file.

    @classmethod
    def from_os_error(cls, error: OSError, path: str) -> Self:
        """Return the same error with the path of the log file."""
        return cls(error.errno, error.strerror, path)


class LogFile:
    """The open log file; owns its descriptor."""

    def __init__(self, folder: str, max_bytes: int) -> None:
        # Open the file in `folder`, or create it. `max_bytes` is the size of the file above which
        # `has_capacity_for` returns False. OSError is raised if the file cannot be opened, or the rest of an
        # unfinished replacement cannot be removed.
        self.path = os.path.join(folder, FILE_NAME)
        """Path of the file."""
        self.size = 0
        """Bytes of complete records in the file; a partial write behind them is not counted."""
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
        """Return the contents of the file."""
        # `size` then counts all of them as complete records.
        with open(self.path, "rb") as source:
            data = source.read()
        self.size = len(data)
        return data

    def has_capacity_for(self, byte_count: int) -> bool:
        """Return whether this number of bytes can be appended."""
        # The file must stay within its maximum size.
        return self.size + byte_count <= self._max_bytes

    def append(self, data: bytes) -> int:
        """Append complete records, either all of them or none; return the offset at which they begin.

        Raises:
            LogFileError: The records could not be written.
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
        """Cut off the partial record that a failed append left.

        Raises:
            LogFileError: The partial record cannot be removed.
        """
        # There is one only if it could not be cut off when the append failed.
        if self._has_partial_write:
            self.truncate(self.size)

    def truncate(self, size: int) -> None:
        """Truncate the file to `size` bytes.

        Raises:
            LogFileError: The file could not be truncated and is unchanged.
        """
        try:
            os.ftruncate(self._descriptor, size)
        except OSError as error:
            raise LogFileError.from_os_error(error, self.path) from error
        self.size = size
        self._has_partial_write = False

    def replace(self, data: bytes) -> None:
        """Atomically replace the file with one that has these contents.

        Raises:
            LogFileError: The file could not be replaced and is unchanged.
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
        # Write the new file and rename it to `path`; return its open descriptor.
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
        """Overwrite the kind of the record at an offset.

        Raises:
            LogFileError: The kind could not be overwritten and is unchanged.
        """
        # This needs no free space on the disk.
        try:
            # A separate descriptor, because writes to the other one (O_APPEND) ignore the offset.
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
