"""Parses, validates and classifies HTTP requests."""

from __future__ import annotations

import asyncio
import re

from itertools import count
from typing import TYPE_CHECKING
from typing import Final
from urllib.parse import unquote

from aiohttp import web
from result import Err
from result import Ok

from sassafraswharf.codes import ResultCode
from sassafraswharf.failure import Failure
from sassafraswharf.quarantine.local_quarantine import request_digest
from sassafraswharf.requests.deadline import request_deadline
from sassafraswharf.router import headers
from sassafraswharf.router.incoming import MAX_IDEMPOTENCY_KEY_CHARACTERS
from sassafraswharf.router.incoming import IncomingRequest
from sassafraswharf.router.peer_routers import signed_text


if TYPE_CHECKING:
    from multidict import CIMultiDictProxy
    from result import Result

    from sassafraswharf.clock import Clock
    from sassafraswharf.router.incoming import RequestIds
    from sassafraswharf.router.view import RouterView
    from sassafraswharf.transport.request_signer import RequestSigner


CONFIGURATION_TIMEOUT_S: Final = 2.0
"""How long a request waits for the first configuration after the start."""
MALFORMED_ESCAPE: Final = re.compile("%(?![0-9A-Fa-f]{2})")


class RequestReader:
    """Checks and classifies requests of callers and of other routers."""

    def __init__(
        self,
        view: RouterView,
        ids: RequestIds,
        signer: RequestSigner,
        clock: Clock,
    ) -> None:
        """Start with request number 1."""
        self.view = view
        self.ids = ids
        self.signer = signer
        self.clock = clock
        self.request_numbers = count(1)

    async def read(
        self, request: web.BaseRequest, *, hop: bool
    ) -> Result[IncomingRequest, Failure]:
        """Return the complete request, or a code from 3001 to 3006, 3104 or 3105."""
        arrived_at = self.clock.now()
        if not await self.wait_for_configuration(arrived_at + CONFIGURATION_TIMEOUT_S):
            return Err(
                Failure(ResultCode.NO_UPSTREAM, "this router has no configuration yet")
            )
        repeated = repeated_header(request.headers)
        if repeated is not None:
            return bad_request(f"header {repeated} occurs twice")
        if not is_well_encoded(request.raw_path):
            return bad_request("the target has a malformed percent-encoding")
        raw_path, _, query = request.raw_path.partition("?")
        classified = self.view.matcher.classify(
            request.method, raw_path, query, request.headers
        )
        if isinstance(classified, Err):
            return classified
        classification = classified.ok_value
        deadline = request_deadline(
            arrived_at,
            classification.deadline_s,
            request.headers.get(headers.DEADLINE_MS),
        )
        if isinstance(deadline, Err):
            return deadline
        idempotency_key = request.headers.get(headers.IDEMPOTENCY_KEY)
        if idempotency_key is not None and not is_valid_idempotency_key(
            idempotency_key
        ):
            return bad_request("the idempotency key is empty, too long or not ASCII")
        limit = classification.max_body_bytes
        body = await read_body(request, limit, deadline.ok_value - arrived_at)
        if isinstance(body, Err):
            return body
        return Ok(
            IncomingRequest(
                next(self.request_numbers),
                request.method,
                request.raw_path,
                request.headers,
                body.ok_value,
                classification,
                idempotency_key,
                self.ids.depth_of(request.headers.get(headers.NESTED)),
                arrived_at,
                deadline.ok_value,
                hop,
                hop and headers.SOLO in request.headers,
                request_digest(request.method, raw_path, query, body.ok_value),
            )
        )

    async def wait_for_configuration(self, give_up_at: float) -> bool:
        """Wait for the first configuration after the start; return False on timeout.

        Without a configuration every service is unknown, so code 3002 would mislead
        the caller.
        """
        while not self.view.revision:
            remaining_s = give_up_at - self.clock.now()
            if remaining_s <= 0:
                return False
            await self.view.changed.wait(remaining_s)
        return True

    def authenticate(
        self, request: web.BaseRequest, body: bytes
    ) -> Result[str, Failure]:
        """Return the router that sent a request, or code 6003 or 6004."""
        return self.signer.verify(
            request.headers.get(headers.AUTHENTICATION, ""),
            request.method,
            request.raw_path,
            signed_text(request.headers),
            body,
        )


async def read_body(
    request: web.BaseRequest, limit_bytes: int, timeout_s: float
) -> Result[bytes, Failure]:
    """Return the complete body, or code 3004 if it is longer than the limit."""
    if not request.can_read_body:
        return Ok(b"")
    if (request.content_length or 0) > limit_bytes:
        return too_large(limit_bytes)
    try:
        async with asyncio.timeout(timeout_s):
            body = await request.read()
    except web.HTTPRequestEntityTooLarge:
        return too_large(limit_bytes)
    except TimeoutError:
        return bad_request("the body did not arrive before the deadline")
    except web.PayloadAccessError as error:
        return bad_request(f"the body is cut short or malformed: {error}")
    if len(body) > limit_bytes:
        return too_large(limit_bytes)
    return Ok(body)


def repeated_header(fields: CIMultiDictProxy[str]) -> str | None:
    """Return a single-valued header that occurs more than once, or None."""
    for name in headers.SINGLE_VALUED:
        if len(fields.getall(name, ())) > 1:
            return name
    return None


def is_well_encoded(target: str) -> bool:
    """Return whether the percent-encoding of a target is unambiguous.

    The path must be UTF-8, because the key of a request is a string. The query is
    forwarded unchanged, in any encoding.

    >>> is_well_encoded("/diary/%C3%A9?q=%E9"), is_well_encoded("/diary/%E9")
    (True, False)
    """
    if "%" not in target:
        return True
    if MALFORMED_ESCAPE.search(target):
        return False
    try:
        unquote(target.partition("?")[0], errors="strict")
    except UnicodeDecodeError:
        return False
    return True


def is_valid_idempotency_key(idempotency_key: str) -> bool:
    """Return whether a string is a valid idempotency key."""
    short = 0 < len(idempotency_key) <= MAX_IDEMPOTENCY_KEY_CHARACTERS
    return short and idempotency_key.isascii() and idempotency_key.isprintable()


def too_large(limit_bytes: int) -> Err[Failure]:
    """Return the failure for a body that exceeds the limit."""
    return Err(
        Failure(ResultCode.BODY_TOO_LARGE, f"the body exceeds {limit_bytes} bytes")
    )


def bad_request(message: str) -> Err[Failure]:
    """Return the failure for a malformed request."""
    return Err(Failure(ResultCode.BAD_REQUEST, message))
