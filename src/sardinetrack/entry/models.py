"""The list of models in the shape that OpenAI clients read."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from sardinetrack.catalogue.api import Pool
from sardinetrack.errors.api import AnsweredError, ErrorKind


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


def model_answer(pools: Iterable[Pool], name: str) -> ModelList | Model:
    """Describe the models of the catalogue.

    :param pools: the pools in force.
    :param name: one model, or empty for all.
    :return: the body of the answer.
    :raises AnsweredError: there is no such model.
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
        raise AnsweredError(ErrorKind.UNKNOWN_MODEL)
    return found[0]
