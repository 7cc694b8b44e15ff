"""The account of the memory that peers can make a node hold."""

import math

import pytest

from swiftthread.memory_account import (
    MIN_ACCOUNT_BYTES,
    SHARES,
    UNACCOUNTED_SHARE,
    MemoryAccount,
    MemoryUse,
    resident_bytes,
)

LIMIT_BYTES = 64_000_000
START_BYTES = 24_000_000


@pytest.fixture
def account():
    return MemoryAccount(LIMIT_BYTES, START_BYTES)


def test_the_parts_of_all_uses_together_fit_into_what_the_start_leaves(account):
    assert set(SHARES) == set(MemoryUse) and math.isclose(sum(SHARES.values()), 1.0)
    total = sum(account.limit_of(use) for use in MemoryUse)
    assert total <= (1 - UNACCOUNTED_SHARE) * (LIMIT_BYTES - START_BYTES)


def test_a_use_gets_what_fits_into_its_part_and_no_more(account):
    limit = account.limit_of(MemoryUse.EVENTS)
    assert account.try_reserve(MemoryUse.EVENTS, limit)
    assert not account.try_reserve(MemoryUse.EVENTS, 1) and account.free(MemoryUse.EVENTS) == 0
    assert account.try_reserve(MemoryUse.REQUESTS, account.limit_of(MemoryUse.REQUESTS))
    account.release(MemoryUse.EVENTS, 10)
    assert account.try_reserve(MemoryUse.EVENTS, 10) and account.used(MemoryUse.EVENTS) == limit


def test_what_one_use_holds_above_its_part_is_taken_from_the_others(account):
    before = account.limit_of(MemoryUse.EVENTS)
    account.reserve(MemoryUse.ENDPOINT_LIST, account.limit_of(MemoryUse.ENDPOINT_LIST))
    assert account.limit_of(MemoryUse.EVENTS) == before
    account.reserve(MemoryUse.ENDPOINT_LIST, 1_000_000)
    assert before - account.limit_of(MemoryUse.EVENTS) == pytest.approx(400_000, abs=1)
    account.release(MemoryUse.ENDPOINT_LIST, 1_000_000)
    assert account.limit_of(MemoryUse.EVENTS) == before


def test_a_process_that_starts_above_its_limit_serves_single_clients():
    account = MemoryAccount(LIMIT_BYTES, 2 * LIMIT_BYTES)
    assert account.total_bytes == MIN_ACCOUNT_BYTES
    assert account.try_reserve(MemoryUse.EVENTS, 10_000)
    account.set_start_bytes(START_BYTES)
    assert account.total_bytes > MIN_ACCOUNT_BYTES


def test_the_highest_use_is_that_since_the_previous_call(account):
    account.reserve(MemoryUse.CALLS, 300)
    account.release(MemoryUse.CALLS, 200)
    assert [account.take_highest(MemoryUse.CALLS) for _ in range(2)] == [300, 100]


def test_the_resident_size_of_this_process_is_plausible():
    assert 5_000_000 < resident_bytes() < 2_000_000_000
