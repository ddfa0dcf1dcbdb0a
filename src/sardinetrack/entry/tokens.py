"""Which workspace a caller's bearer token belongs to."""

from __future__ import annotations

import hashlib

from sardinetrack.catalogue.api import Workspace
from sardinetrack.catalogue.view import CatalogueView
from sardinetrack.errors.api import AnsweredError, ErrorKind
from sardinetrack.http.asgi import Exchange


def authenticated(exchange: Exchange, catalogue: CatalogueView) -> Workspace:
    """Look up the token's digest; the token itself is kept nowhere.

    :param exchange: a caller's request.
    :param catalogue: the configuration in force.
    :return: the workspace.
    :raises AnsweredError: the token is missing or unknown, or there is no
        configuration to know it from.
    """
    token = _bearer_token(exchange.header('authorization') or '')
    digest = hashlib.sha256(token.encode('latin-1')).hexdigest()
    workspace = catalogue.workspace_by_token_hash(digest)
    if not token:
        raise AnsweredError(ErrorKind.UNAUTHENTICATED)
    if workspace is None:
        raise AnsweredError(_stranger(catalogue))
    return workspace


def _stranger(catalogue: CatalogueView) -> ErrorKind:
    # An entry that started while the platform was down knows no token at all:
    # "unknown" would be false, and no client comes back after it.
    if catalogue.revision:
        return ErrorKind.UNAUTHENTICATED
    return ErrorKind.NOT_RUN_NO_SERVER


def _bearer_token(header: str) -> str:
    scheme, _, token = header.partition(' ')
    return token.strip() if scheme.lower() == 'bearer' else ''
