"""Start, reload and stop of one node: everything it owns is made here and given back here."""

import math
import os
import signal
import time

import anyio
from loguru import logger

from swiftthread.service import limits as bounds
from swiftthread.service.node import Node
from swiftthread.service.told import Told
from swiftthread.service.turns import Turns
from swiftthread.store.buffers import Buffers
from swiftthread.store.ledger import Ledger
from swiftthread.store.lines import Lines
from swiftthread.terms import Malformed
from swiftthread.wire.answer import UNREADABLE
from swiftthread.wire.courier import Courier
from swiftthread.wire.door import Door
from swiftthread.wire.line import listening
from swiftthread.wire.notices import Notices
from swiftthread.wire.registry import Registry

SIGNALS = {signal.SIGTERM, signal.SIGINT, signal.SIGHUP}


def clock():
    """The module's clock: ms, forward only."""
    return time.monotonic() * 1000.0


def wall():
    """Unix time in ms, for what must mean the same after a restart."""
    return time.time() * 1000.0


async def serve(told):
    """Run one node until SIGTERM, and end inside the time that leaves.

    SIGHUP: the configuration is read again. `SIGNALS` are held back by the caller until somebody listens, and
    again once nobody does: one that comes while the log is read, or a second one beside the exit, ends no
    process in the middle of something.
    """
    with anyio.open_signal_receiver(*SIGNALS) as signals:
        signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
        try:
            await _serve(told, signals)
        finally:
            signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)


async def _serve(told, signals):
    terms = told.terms
    limits = bounds.Limits(
        told.limits, terms.get("slots"), terms.get("keepalive_ms", 60000.0), terms.get("connect_ms")
    )
    ledger = Ledger(told.state, limits.disk, wall)
    try:
        for line in told.doubts:
            logger.warning(line)
        if ledger.cut_off:
            logger.warning("{} bytes at the end of the log were torn and are cut off", ledger.cut_off)
        for begin, end in ledger.unread:
            logger.error(
                "{}: bytes {} to {} are none of this program's records; what was taken before them is held to"
                " have been sent",
                ledger.path,
                begin,
                end,
            )
        async with anyio.create_task_group() as tasks:
            buffers, lines = Buffers(), Lines(clock, limits.most_idle, limits.idle_lines)
            registry = Registry(
                told.discovery, buffers, told.kinds, told.zones, bounds.WATCH_QUIET_MS, bounds.PLATFORM_MS
            )
            node = Node(
                told.seed,
                terms,
                told.streams,
                told.tenants,
                lambda module: Turns(module, clock, terms.get("tick_ms", 5.0)),
                ledger,
                clock,
                wall,
                limits,
                tasks,
            )
            node.courier = Courier(
                tasks,
                lines,
                buffers,
                clock,
                wall,
                registry.addresses,
                limits,
                told.report_names,
                node.module.leaves_by,
            )
            node.notices = Notices(told.discovery, buffers, bounds.PLATFORM_MS, bounds.NOTICE_PAUSE_MS)
            door = node.door = Door(
                node.take,
                told.streams,
                buffers,
                limits,
                wall,
                bounds.FIRST_MS,
                bounds.REQUEST_MS,
                bounds.CLIENT_IDLE_MS,
                node.intake,
                node.turns.ring,
            )
            if told.known:
                try:
                    node.module.listed(*registry.entries(told.known), clock())
                except UNREADABLE as fault:
                    logger.warning(
                        "the configuration's known list cannot be read ({}); the watch will tell", fault
                    )
            node.resume()
            tasks.start_soon(node.notices.run)
            tasks.start_soon(node.turns.run, node.each_turn)
            tasks.start_soon(node.follow, registry)
            listener = listening(told.listen, limits.backlog)
            try:
                tasks.start_soon(door.serve, listener, tasks)
                logger.info(
                    "{} serves on {}:{}; {} events are owed", told.name, *told.listen, len(ledger.held)
                )
                async for which in signals:
                    if which == signal.SIGHUP:
                        told = reload(told, registry, node.notices)
                    elif node.sends_until == math.inf:
                        node.sends_until = clock() + bounds.SENDING_MS
                        tasks.start_soon(stop, node, door, listener, ledger, tasks)
            finally:
                listener.close()
                lines.close_all()
                tasks.cancel_scope.cancel()
    finally:
        ledger.close()


def reload(told, registry, notices):
    """What can change under load: where discovery is.

    A configuration that cannot be used leaves all as it was.
    """
    try:
        fresh = Told(os.environ, anew=True)
    except Malformed as fault:
        logger.error("the new configuration is not used: {}", fault)
        return told
    for part in [part for part in fresh.later if fresh.later[part] != told.later[part]]:
        logger.warning("the new configuration's {} counts from the next start on", part)
    fresh.later = told.later
    logger.info("the configuration is read again; discovery is at {}:{}", *fresh.discovery)
    registry.move(fresh.discovery)
    notices.move(fresh.discovery)
    return fresh


async def stop(node, door, listener, ledger, tasks):
    """Clients are let go, but an event that crosses that and can still be sent is taken.

    Sends go on for a while, calls out get their time; the rest is in the log.
    """
    begun = clock()
    logger.info("stopping; {} events are held", len(ledger.held))
    door.close_idle()
    while clock() - begun < bounds.STOP_MS:
        await anyio.sleep(0.02)
        spent = clock() - begun
        node.stopping, node.turns.sending = spent > bounds.ANSWERING_MS, spent < bounds.SENDING_MS
        idle = not ledger.held if node.turns.sending else not node.module.out
        if idle and not door.owes() and spent > bounds.ANSWERING_MS:
            break
    await door.end(listener, tasks)
    logger.info("stopped; {} events are left in the log", len(ledger.held))
    tasks.cancel_scope.cancel()
