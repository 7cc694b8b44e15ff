"""Hosts all instances of one process. They share only the numbered endpoint lists from the simulator."""

from __future__ import annotations

from collections.abc import Callable

from swiftthread.configuration.settings_reader import (
    MalformedInput,
    parse_settings,
    read_report_fields,
    read_settings,
)
from swiftthread.routing.messages import EndpointEntry
from swiftthread.simulator.codec import Frame, ReplyWriter, read_list_entries, read_tail
from swiftthread.simulator.errors import ProtocolError
from swiftthread.simulator.messages import (
    AttemptResult,
    EndpointList,
    HealthCheckResult,
    ListEntries,
    ListForm,
    Message,
    PeerMessage,
    StartInstance,
    StopInstance,
    StreamOpened,
    SubmitEvent,
    Wakeup,
    WithdrawEvent,
)
from swiftthread.simulator.sessions import Session

LIST_FORMS = frozenset(ListForm)


class SessionHost:
    """Passes the records of a frame to the sessions of their instances.

    Attributes:
        sessions: Sessions of the running instances, by instance number.
        endpoint_lists: Endpoint lists by list number, which is one byte; a later list with the same number
            replaces the earlier one.
    """

    def __init__(self) -> None:
        self.sessions: dict[int, Session] = {}
        self.endpoint_lists: dict[int, list[EndpointEntry]] = {}

    def handle_frame(self, frame: Frame, reply: ReplyWriter) -> None:
        """Pass each record to its session, then run a scheduling cycle for every session that received one.

        Raises:
            ProtocolError: A record is malformed, or is not allowed in the state of its instance.
        """
        sessions_to_run: dict[int, Session] = {}
        for record_index, message in enumerate(frame.read_messages()):
            try:
                session = HANDLERS[type(message)](self, message, frame, reply)
            except (ProtocolError, MalformedInput) as error:
                raise ProtocolError(f"batch {frame.batch_number}, record {record_index}: {error}") from None
            except Exception as error:  # the router failed, which the protocol reports with a command
                reply.report_fault(
                    message[0],
                    f"batch {frame.batch_number}, record {record_index}: {type(error).__name__}: {error}",
                )
                return
            if session is not None:
                sessions_to_run[session.number] = session
        for session in sessions_to_run.values():
            if self.sessions.get(session.number) is not session:
                continue
            try:
                session.run_cycle(frame.now_ms, reply)
            except Exception as error:
                reply.report_fault(
                    session.number, f"batch {frame.batch_number}: {type(error).__name__}: {error}"
                )
                return

    def _find_session(self, instance: int) -> Session:
        session = self.sessions.get(instance)
        if session is None:
            raise ProtocolError(f"a record for instance {instance}, which is not running")
        return session

    def _start_instance(self, message: StartInstance, frame: Frame, _reply: ReplyWriter) -> Session:
        document = parse_settings(read_tail(frame.tail, message.offset, message.length))
        settings = read_settings(document)
        report_fields = [name.lower() for name in read_report_fields(document)]
        session = Session(message.instance, message.seed, settings, report_fields)
        self.sessions[message.instance] = session
        return session

    def _stop_instance(self, message: StopInstance, _frame: Frame, _reply: ReplyWriter) -> None:
        self._find_session(message.instance)
        del self.sessions[message.instance]

    def _store_list(self, message: ListEntries, frame: Frame, _reply: ReplyWriter) -> None:
        self.endpoint_lists[message.list_number] = read_list_entries(
            frame.tail, message.offset, message.entry_count
        )

    def _apply_list(self, message: EndpointList, frame: Frame, _reply: ReplyWriter) -> Session:
        session = self._find_session(message.instance)
        if message.form == ListForm.REQUEST_FAILED:
            session.router.record_list_request_failure(frame.now_ms)
        elif message.form not in LIST_FORMS:
            raise ProtocolError(f"unknown list form {message.form}")
        elif message.list_number not in self.endpoint_lists:
            raise ProtocolError(f"the entries of list {message.list_number} were never sent")
        else:
            entries = self.endpoint_lists[message.list_number]
            session.apply_endpoint_list(entries, message.form != ListForm.DELTA, frame.now_ms)
        return session

    def _submit_event(self, message: SubmitEvent, frame: Frame, _reply: ReplyWriter) -> Session:
        session = self._find_session(message.instance)
        session.submit(message, frame.now_ms)
        return session

    def _withdraw_event(self, message: WithdrawEvent, frame: Frame, _reply: ReplyWriter) -> Session:
        session = self._find_session(message.instance)
        session.withdraw(message.ticket, frame.now_ms)
        return session

    def _record_attempt(self, message: AttemptResult, frame: Frame, reply: ReplyWriter) -> Session:
        session = self._find_session(message.instance)
        session.record_attempt(message, frame.now_ms, reply)
        return session

    def _record_health_check(self, message: HealthCheckResult, frame: Frame, _reply: ReplyWriter) -> Session:
        session = self._find_session(message.instance)
        session.record_health_check(message, frame.now_ms)
        return session

    def _wake(
        self, message: Wakeup | StreamOpened | PeerMessage, _frame: Frame, _reply: ReplyWriter
    ) -> Session:
        return self._find_session(message.instance)


HANDLERS: dict[type[Message], Callable[..., Session | None]] = {
    StartInstance: SessionHost._start_instance,
    StopInstance: SessionHost._stop_instance,
    ListEntries: SessionHost._store_list,
    EndpointList: SessionHost._apply_list,
    SubmitEvent: SessionHost._submit_event,
    WithdrawEvent: SessionHost._withdraw_event,
    AttemptResult: SessionHost._record_attempt,
    HealthCheckResult: SessionHost._record_health_check,
    Wakeup: SessionHost._wake,
    StreamOpened: SessionHost._wake,
    PeerMessage: SessionHost._wake,
}
"""The handler of each message type.

It returns the session whose scheduling cycle is to run after the batch, or None.
"""
