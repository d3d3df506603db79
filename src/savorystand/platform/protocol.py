"""DynamoDB's JSON protocol: requests, items and errors.

Source: Amazon DynamoDB API reference, version 2012-08-10.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

from savorystand.platform.errors import ConditionFailedError
from savorystand.platform.errors import StoreContentionError
from savorystand.platform.errors import StoreError
from savorystand.platform.errors import StoreUnavailableError
from savorystand.platform.errors import StoreUnknownError
from savorystand.platform.store import Absent
from savorystand.platform.store import Unchanged

if TYPE_CHECKING:
    from savorystand.platform.connections import ServiceAnswer
    from savorystand.platform.store import Attributes
    from savorystand.platform.store import Put

TARGET_PREFIX = 'DynamoDB_20120810'
TABLE_NAME = 'savorystand'
ID = 'id'

_OK = 200
_MIN_REFUSED = 400
_MIN_FAILED = 500
_REQUEST_TIMEOUT = 408
_CONDITION_FAILED = 'ConditionalCheckFailed'
_THROTTLED = frozenset(
    (
        'ProvisionedThroughputExceededException',
        'RequestLimitExceeded',
        'ThrottlingException',
    ),
)
_CONTENTION = frozenset(('TransactionConflictException',))
# An earlier request with the same token is still at work.
_IN_PROGRESS = 'TransactionInProgressException'
_CANCELLED = 'TransactionCanceledException'


def encode_put(put: Put) -> dict[str, Any]:
    """Return the parameters of a conditional put."""
    encoded: dict[str, Any] = {
        'TableName': TABLE_NAME,
        'Item': encode_item(put.id, put.attributes),
        'ExpressionAttributeNames': {'#name': ID},
    }
    match put.condition:
        case Absent():
            encoded['ConditionExpression'] = 'attribute_not_exists(#name)'
        case Unchanged(attribute=attribute, equals=equals):
            encoded['ConditionExpression'] = '#name = :old'
            encoded['ExpressionAttributeNames'] = {'#name': attribute}
            encoded['ExpressionAttributeValues'] = {':old': {'S': equals}}
    return encoded


def encode_item(item_id: str, attributes: Attributes) -> dict[str, Any]:
    """Return an item in the protocol's typed form."""
    typed: dict[str, Any] = {ID: {'S': item_id}}
    for name, plain in attributes.items():
        kind = 'N' if isinstance(plain, int) else 'S'
        typed[name] = {kind: str(plain)}
    return typed


def decode_item(typed: dict[str, Any]) -> tuple[str, Attributes]:
    """Return the id and the other attributes of an item.

    Raises:
        KeyError, TypeError, ValueError, AttributeError: not such an item.
    """
    plain = {
        name: int(typed_value['N'])
        if 'N' in typed_value
        else str(typed_value['S'])
        for name, typed_value in typed.items()
    }
    return str(plain.pop(ID)), plain


def decode_answer(answer: ServiceAnswer) -> dict[str, Any]:
    """Return the document of a successful answer.

    Raises:
        ConditionFailedError: a condition did not hold.
        StoreUnknownError: the answer does not tell what happened.
        StoreError: the service refused; nothing was written.
    """
    document = _document(answer)
    if answer.status == _OK:
        if document is None:
            raise StoreUnknownError('the answer is not JSON')
        return document
    kind = _kind(document)
    if kind == _IN_PROGRESS or not _refused(answer.status):
        # The reference says of statuses 500 and above that the operation
        # may have succeeded.
        raise StoreUnknownError(f'status {answer.status} {kind}'.strip())
    raise _refusal(kind, document or {}, answer.status)


def _refused(status: int) -> bool:
    if status == _REQUEST_TIMEOUT:
        return False
    return _MIN_REFUSED <= status < _MIN_FAILED


def _refusal(kind: str, document: dict[str, Any], status: int) -> StoreError:
    if kind == 'ConditionalCheckFailedException':
        return ConditionFailedError(failed=(0,))
    if kind == _CANCELLED:
        return _cancelled(document)
    if kind in _CONTENTION:
        return StoreContentionError(kind)
    if kind in _THROTTLED:
        return StoreUnavailableError(kind)
    return StoreError(f'status {status} {kind}'.strip())


def _cancelled(document: dict[str, Any]) -> StoreError:
    codes = _codes(document.get('CancellationReasons'))
    failed = tuple(
        index for index, code in enumerate(codes) if code == _CONDITION_FAILED
    )
    if failed:
        return ConditionFailedError(failed=failed)
    if 'TransactionConflict' in codes:
        return StoreContentionError('another transaction on the same items')
    named = ', '.join(f'{code}' for code in codes)
    return StoreUnavailableError(f'transaction cancelled: {named}')


def _codes(reasons: object) -> list[object]:
    if not isinstance(reasons, list):
        return []
    return [
        reason.get('Code') if isinstance(reason, dict) else None
        for reason in reasons
    ]


def _document(answer: ServiceAnswer) -> dict[str, Any] | None:
    try:
        document = json.loads(answer.body)
    except (ValueError, RecursionError):
        return None
    return document if isinstance(document, dict) else None


def _kind(document: dict[str, Any] | None) -> str:
    name = (document or {}).get('__type', '')
    return str(name).rpartition('#')[2]
