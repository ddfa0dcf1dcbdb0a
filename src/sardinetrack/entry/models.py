"""The list of models in the format of the OpenAI API."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from sardinetrack.catalogue.api import Pool
from sardinetrack.errors.api import ErrorKind, RequestError


class Model(msgspec.Struct, frozen=True):
    """One model."""

    id: str
    owned_by: str
    created: int = 0
    object: str = 'model'


class ModelList(msgspec.Struct, frozen=True):
    """All models."""

    data: tuple[Model, ...]
    object: str = 'list'


def models_response(pools: Iterable[Pool], name: str) -> ModelList | Model:
    """Build the response body for the models of the catalogue.

    :param pools: the active pools.
    :param name: the name of one model, or empty for all.
    :return: the body of the response.
    :raises RequestError: there is no such model.
    """
    found = tuple(
        Model(model, pool.owner)
        for pool in pools
        for model in pool.models
        if name in {'', model}
    )
    if not name:
        return ModelList(found)
    if not found:
        raise RequestError(ErrorKind.UNKNOWN_MODEL)
    return found[0]
