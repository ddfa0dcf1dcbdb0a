"""Authenticates callers by their bearer token."""

from __future__ import annotations

import hashlib

from sardinetrack.catalogue.api import Workspace
from sardinetrack.catalogue.view import CatalogueView
from sardinetrack.errors.api import ErrorKind, RequestError
from sardinetrack.http.asgi import HttpExchange


def authenticate(exchange: HttpExchange, catalogue: CatalogueView) -> Workspace:
    """Return the workspace of a caller's bearer token.

    Only the token's digest is looked up; the token itself is not stored.

    :param exchange: a caller's request.
    :param catalogue: the active configuration.
    :return: the workspace.
    :raises RequestError: the token is missing or unknown, or there is no
        configuration to check it against.
    """
    token = _bearer_token(exchange.header('authorization') or '')
    digest = hashlib.sha256(token.encode('latin-1')).hexdigest()
    workspace = catalogue.workspace_by_token_hash(digest)
    if not token:
        raise RequestError(ErrorKind.UNAUTHENTICATED)
    if workspace is None:
        raise RequestError(_unknown_token_kind(catalogue))
    return workspace


def _unknown_token_kind(catalogue: CatalogueView) -> ErrorKind:
    # An entry that started while the platform was down has no tokens yet.
    # Calling the token unknown would be false, and clients do not retry after
    # that error.
    if catalogue.revision:
        return ErrorKind.UNAUTHENTICATED
    return ErrorKind.NOT_RUN_NO_SERVER


def _bearer_token(header: str) -> str:
    scheme, _, token = header.partition(' ')
    return token.strip() if scheme.lower() == 'bearer' else ''
