"""Items of the stand-in's table service.

Source: Amazon DynamoDB API reference, version 2012-08-10; only the operations
and expressions that the client sends.
"""

from __future__ import annotations

import json
from collections import OrderedDict
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeAlias

if TYPE_CHECKING:
    from collections.abc import Sequence

Document: TypeAlias = dict[str, Any]

_ID = 'id'
_FAILED = 'ConditionalCheckFailed'
_MAX_ITEMS = 100
_MAX_ITEM_BYTES = 409600
_MAX_TOKENS = 100000


class OperationError(Exception):
    """An operation is refused with an error document of the protocol."""

    def __init__(self, *, kind: str, **more: Any) -> None:
        """Name the error of the protocol."""
        super().__init__(kind)
        self.document = {'__type': f'com.amazonaws.dynamodb#{kind}', **more}


class ItemTable:
    """All items of all tables, in memory."""

    __slots__ = ('_stored', '_tokens')

    def __init__(self) -> None:
        """Start empty."""
        self._stored: dict[tuple[str, str], Document] = {}
        self._tokens: OrderedDict[str, str] = OrderedDict()

    def run(self, operation: str, fields: Document) -> Document:
        """Apply one operation and return its answer.

        Raises:
            OperationError: it is refused; nothing was written.
        """
        try:
            return self._dispatch(operation, fields)
        except (AttributeError, KeyError, TypeError) as exc:
            message = f'malformed: {exc!r}'
            raise OperationError(
                kind='ValidationException',
                message=message,
            ) from exc

    def _dispatch(self, operation: str, fields: Document) -> Document:
        match operation:
            case 'GetItem':
                return self._get(fields)
            case 'BatchGetItem':
                return self._get_many(fields)
            case 'PutItem':
                if not self._holds(fields):
                    raise OperationError(kind='ConditionalCheckFailedException')
                self._write(fields)
                return {}
            case 'TransactWriteItems':
                return self._transact(fields)
            case _:
                raise OperationError(kind='UnknownOperationException')

    def _get(self, fields: Document) -> Document:
        table = fields['TableName']
        found = self._stored.get((table, fields['Key'][_ID]['S']))
        return {} if found is None else {'Item': found}

    def _get_many(self, fields: Document) -> Document:
        responses: dict[str, list[Document]] = {}
        for table, wanted in fields['RequestItems'].items():
            keys = [key[_ID]['S'] for key in wanted['Keys']]
            _check_ids(keys)
            found = [self._stored.get((table, key)) for key in keys]
            responses[table] = [one for one in found if one is not None]
        return {'Responses': responses, 'UnprocessedKeys': {}}

    def _transact(self, fields: Document) -> Document:
        puts = [one['Put'] for one in fields['TransactItems']]
        _check_ids([put['Item'][_ID]['S'] for put in puts])
        token = fields['ClientRequestToken']
        mark = json.dumps(puts, sort_keys=True)
        earlier = self._tokens.get(token)
        if earlier == mark:
            return {}
        if earlier is not None:
            raise OperationError(kind='IdempotentParameterMismatchException')
        held = [self._holds(put) for put in puts]
        if not all(held):
            reasons = [{'Code': 'None' if one else _FAILED} for one in held]
            raise OperationError(
                kind='TransactionCanceledException',
                CancellationReasons=reasons,
            )
        for put in puts:
            self._write(put)
        self._tokens[token] = mark
        if len(self._tokens) > _MAX_TOKENS:
            self._tokens.popitem(last=False)
        return {}

    def _holds(self, put: Document) -> bool:
        expression = put.get('ConditionExpression')
        if expression is None:
            return True
        stored = self._stored.get((put['TableName'], put['Item'][_ID]['S']))
        name = put['ExpressionAttributeNames']['#name']
        match expression:
            case 'attribute_not_exists(#name)':
                return stored is None or stored.get(name) is None
            case '#name = :old':
                old = put['ExpressionAttributeValues'][':old']
                return stored is not None and stored.get(name) == old
            case _:
                raise OperationError(
                    kind='ValidationException',
                    message=f'unknown expression {expression}',
                )

    def _write(self, put: Document) -> None:
        document = put['Item']
        if _size(document) > _MAX_ITEM_BYTES:
            message = 'Item size has exceeded the maximum allowed size'
            raise OperationError(kind='ValidationException', message=message)
        self._stored[put['TableName'], document[_ID]['S']] = document


def _size(document: Document) -> int:
    """Return an item's size as the reference counts it, in bytes."""
    return sum(
        len(name) + sum(len(plain.encode()) for plain in typed.values())
        for name, typed in document.items()
    )


def count_items(operation: str, fields: Document) -> tuple[int, int]:
    """Return how many items an operation reads and writes."""
    match operation:
        case 'GetItem':
            return 1, 0
        case 'BatchGetItem':
            wanted = fields.get('RequestItems', {}).values()
            return sum(len(one['Keys']) for one in wanted), 0
        case 'TransactWriteItems':
            return 0, len(fields.get('TransactItems', ()))
        case _:
            return 0, 1


def _check_ids(ids: Sequence[str]) -> None:
    if len(ids) != len(set(ids)) or not 0 < len(ids) <= _MAX_ITEMS:
        message = 'no, too many or repeated items'
        raise OperationError(kind='ValidationException', message=message)
