"""HTTP responses of a standalone node to its callers and its target."""

from __future__ import annotations

from typing import TYPE_CHECKING

from savorystand.deduplication.runner import KeyedRunner
from savorystand.gateway import headers as header_names
from savorystand.gateway.asgi import HttpResponse
from savorystand.gateway.refusals import refusal_body
from savorystand.gateway.refusals import retry_after
from savorystand.gateway.refusals import status_of
from savorystand.verdict import Reason
from savorystand.verdict import verdict_name

if TYPE_CHECKING:
    from savorystand.call import CallContext
    from savorystand.call import Response
    from savorystand.kernel.kernel import Kernel
    from savorystand.verdict import Refusal

_REASONS_WITH_NEW_KEY = frozenset(
    (
        Reason.FORGOTTEN,
        Reason.HOME_LOST,
        Reason.KEY_REQUIRED,
        Reason.STORE_UNAVAILABLE,
    )
)


def refusal_response(
    kernel: Kernel, refusal: Refusal, request_id: str
) -> HttpResponse:
    """Return the response to a request that got no answer.

    It offers a new key, from the service ``keys``, where that helps.
    """
    status = status_of(refusal)
    headers = [
        ('content-type', 'application/json'),
        (header_names.VERDICT, verdict_name(refusal)),
        (header_names.REQUEST_ID, request_id),
    ]
    if status in {429, 503}:
        headers.append((header_names.RETRY_AFTER, retry_after(refusal)))
    if refusal.reason in _REASONS_WITH_NEW_KEY:
        issuer = kernel.find('keys', KeyedRunner).issuer
        headers.append((header_names.IDEMPOTENCY_KEY, issuer.issue()))
    return HttpResponse(
        status=status,
        headers=tuple(headers),
        body=refusal_body(refusal, request_id),
    )


def answer_response(response: Response, context: CallContext) -> HttpResponse:
    """Return the answer of a target with the headers of the node."""
    node_headers = (
        (header_names.VERDICT, 'answered'),
        (header_names.REQUEST_ID, context.request_id),
    )
    return HttpResponse(
        status=response.status,
        headers=header_names.forwarded_headers(response.headers) + node_headers,
        body=response.body,
    )
