"""An event that the node has taken and not ended yet."""

import hashlib
import json
import struct

from swiftthread.storage.records import TAKEN, record


class PendingEvent:
    """An event held, as its client handed it in (the tenant by name), and what is known of its sends.

    Moments are Unix ms.
    """

    def __init__(
        self, event_id, idempotency_key, stream_type, destination, expires_at, tenant, ordering_key, body
    ):
        self.event_id = event_id
        self.idempotency_key = idempotency_key
        self.stream_type = stream_type
        self.destination = destination
        self.expires_at = expires_at
        self.tenant = tenant
        self.ordering_key = ordering_key
        self.body = body
        self.attempts = 0
        self.send_in_flight = None
        self.may_have_run = None
        self.decision = None
        self.event = None
        self.reserved_bytes = 0
        self.file_offset = 0  # where its first record stands in the file
        self.decision_is_logged = False

    def taken_record(self):
        """The log record that says that the event was taken."""
        head = json.dumps(
            [
                self.event_id,
                self.idempotency_key,
                self.stream_type,
                self.destination,
                self.expires_at,
                self.tenant,
                self.ordering_key,
            ]
        ).encode()
        return record(TAKEN, struct.pack("<I", len(head)) + head + self.body)

    def note_send(self, at, zone):
        """Note a send that leaves at `at` for an endpoint of `zone`."""
        self.may_have_run = self.may_have_run or self.send_in_flight
        self.attempts += 1
        self.send_in_flight = (at, zone)

    def fingerprint(self):
        """What a hand-in under the same id must be alike in to be the same: all but the time that is left."""
        said = json.dumps(
            [self.idempotency_key, self.stream_type, self.destination, self.tenant, self.ordering_key]
        ).encode()
        return hashlib.blake2b(said + self.body, digest_size=8).hexdigest()
