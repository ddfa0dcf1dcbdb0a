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
    :raises AnsweredError: the token is missing or unknown.
    """
    token = _bearer_token(exchange.header('authorization') or '')
    digest = hashlib.sha256(token.encode('latin-1')).hexdigest()
    workspace = catalogue.workspace_by_token_hash(digest)
    if workspace is None or not token:
        raise AnsweredError(ErrorKind.UNAUTHENTICATED)
    return workspace


def _bearer_token(header: str) -> str:
    scheme, _, token = header.partition(' ')
    return token.strip() if scheme.lower() == 'bearer' else ''
