"""
Transactions by which a router acquires and releases a duty, and what their results mean.

Each duty has two keys with the same value: one that stays and counts the tokens, and one under the
lease of the holder. The names of the keys contain the era of the store, so a transaction of an
earlier era that the store executes late changes nothing in this one.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any
from urllib.parse import quote

import attrs

from boragetiller.errors import EntryUnreadable
from boragetiller.hashing import stable_hash
from boragetiller.tables.duties import DutyRecord, Holding, StoredDuty, StoredRecord
from boragetiller.tables.store_writes import (
    NO_REVISION,
    ExpectedRevision,
    KeyWrite,
    Transaction,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from boragetiller.tables.duties import Duty, FormerDuty, HeldDuty, HeldLease
    from boragetiller.tables.store_view import StoredItem

KEY_PREFIX = "boragetiller/duties"
MAX_SUBJECT_BYTES = 120  # keys of the store have at most 200 bytes
TOKEN_COUNTER_BITS = 32  # acquisitions in one era
REACQUIRE_LEASES = 2  # a lease for its calls and as much for others to acquire the duty first


def get_prefix(duty: Duty, era: int) -> str:
    """:return: common prefix of the keys of a duty in an era of the store"""
    subject = quote(duty.subject, safe="")
    if len(subject) > MAX_SUBJECT_BYTES:
        subject = f"{stable_hash(duty.subject):016x}"
    return f"{KEY_PREFIX}/{era}/{duty.kind.value}/{subject}/"


def get_token_key(duty: Duty, era: int) -> str:
    """:return: key that counts the tokens of a duty"""
    return get_prefix(duty, era) + "token"


def get_lease_key(duty: Duty, era: int) -> str:
    """:return: key that exists while a duty is held"""
    return get_prefix(duty, era) + "lease"


def encode_record(record: DutyRecord) -> bytes:
    """:return: value of the keys of a duty"""
    return json.dumps(attrs.asdict(record), sort_keys=True).encode()


def decode_record(value: bytes) -> DutyRecord:
    """
    Decode the value of a key of a duty.

    :raises EntryUnreadable: the value is not a valid record
    """
    try:
        fields: dict[str, Any] = json.loads(value)
        record = DutyRecord(**fields)
    except (ValueError, TypeError, RecursionError) as error:
        raise EntryUnreadable(f"record of a duty: {error!r:.80}") from error
    numbers = (record.token, record.incarnation, record.attempt, record.lease_id)
    if not isinstance(record.holder, str) or any(type(number) is not int for number in numbers):
        raise EntryUnreadable(f"record of a duty: got {fields!r:.80}")
    return record


def apply_items(stored: StoredDuty, duty: Duty, items: Iterable[StoredItem]) -> StoredDuty:
    """
    Apply items of a read, a watch or a conflict to the known state of a duty.

    :param stored: known state
    :param duty: the duty
    :param items: items and tombstones; those of other keys are ignored
    :return: new state
    :raises EntryUnreadable: a value is not a valid record
    """
    for item in items:
        value = None
        if item.value is not None:
            value = StoredRecord(decode_record(item.value), item.revision)
        if item.key == get_token_key(duty, stored.era):
            stored = attrs.evolve(stored, token=value)
        elif item.key == get_lease_key(duty, stored.era):
            stored = attrs.evolve(stored, lease=value)
    return stored


def is_own(stored: StoredDuty, incarnation: int, held: HeldLease | None) -> bool:
    """
    Decide whether this process holds a duty according to the store, so a lost answer was positive.

    :param stored: the keys of the duty
    :param incarnation: of this process
    :param held: lease of this process
    :return: whether the duty was acquired under that lease, which has not ended
    """
    if stored.lease is None or held is None or held.lease.era != stored.era:
        return False
    record = stored.lease.record
    return record.incarnation == incarnation and record.lease_id == held.lease.lease_id


def compute_token(stored: StoredDuty) -> int:
    """
    Compute the token of the next holder.

    :param stored: the keys of the duty
    :return: a number above all tokens of this era and of the earlier ones
    """
    previous = stored.token.record.token if stored.token is not None else 0
    return max(previous, stored.era << TOKEN_COUNTER_BITS) + 1


def compute_reacquire_wait_ms(
    stored: StoredDuty, former: FormerDuty | None, lease_ms: int, now_ms: int
) -> int:
    """
    Compute how long this router leaves a duty that it held to the others.

    Another router may have held it since for any short time, and a holder must not return within
    a lease. It may if no other router held the duty.

    :param stored: the keys of the duty
    :param former: the duty as this process held it last, None if it never did
    :param lease_ms: duration of leases in milliseconds
    :param now_ms: time in milliseconds
    :return: 0 or more milliseconds
    """
    if former is None:
        return 0
    if stored.token is not None and stored.token.record.token == former.token:
        return 0
    return max(0, former.ended_ms + REACQUIRE_LEASES * lease_ms - now_ms)


def build_record(
    stored: StoredDuty, holder: str, incarnation: int, attempt: int, lease_id: int
) -> DutyRecord:
    """
    Build the record of an attempt to acquire a duty.

    :param stored: the keys of the duty
    :param holder: name of this router
    :param incarnation: of this process
    :param attempt: number of the attempt
    :param lease_id: lease under which the duty is to be held
    :return: the record
    """
    return DutyRecord(
        token=compute_token(stored),
        holder=holder,
        incarnation=incarnation,
        attempt=attempt,
        lease_id=lease_id,
    )


def build_acquisition(duty: Duty, stored: StoredDuty, record: DutyRecord) -> Transaction:
    """
    Build the transaction that acquires a duty.

    :param duty: the duty
    :param stored: its keys as last read
    :param record: the record to write
    :return: the transaction; it fails if a router holds the duty or acquired it since the read
    """
    token_key, lease_key = get_token_key(duty, stored.era), get_lease_key(duty, stored.era)
    value = encode_record(record)
    return Transaction(
        era=stored.era,
        expected=(
            ExpectedRevision(lease_key, NO_REVISION),
            ExpectedRevision(token_key, get_token_revision(stored)),
        ),
        writes=(KeyWrite(lease_key, value, record.lease_id), KeyWrite(token_key, value)),
    )


def get_token_revision(stored: StoredDuty) -> int:
    """:return: extended revision of the key that counts tokens, NO_REVISION if it is missing"""
    return stored.token.revision if stored.token is not None else NO_REVISION


def build_release(duty: Duty, era: int, lease_revision: int) -> Transaction:
    """
    Build the transaction that frees a duty. The lease itself is left to end.

    :param duty: the duty
    :param era: era of the store in which it was acquired
    :param lease_revision: extended revision of the key under the lease
    :return: the transaction; it fails if the duty was acquired again
    """
    key = get_lease_key(duty, era)
    return Transaction(era=era, expected=(ExpectedRevision(key, lease_revision),), removals=(key,))


def build_holding(duty: Duty, held: HeldDuty, lease: HeldLease) -> Holding:
    """:return: what the task of a duty gets"""
    record = held.token.record
    return Holding(
        duty=duty,
        token=record.token,
        holder=record.holder,
        valid_until_ms=lease.valid_until_ms,
        era=held.era,
        condition=ExpectedRevision(get_token_key(duty, held.era), held.token.revision),
    )


__all__ = [
    "apply_items",
    "build_acquisition",
    "build_holding",
    "build_record",
    "build_release",
    "compute_reacquire_wait_ms",
    "compute_token",
    "decode_record",
    "encode_record",
    "get_lease_key",
    "get_prefix",
    "get_token_key",
    "get_token_revision",
    "is_own",
]
