"""Orders to a model engine, such as loading a model or changing role."""

from __future__ import annotations

from typing import Any

import msgspec

from sardinetrack.standin.fencing import Fence


class Order(msgspec.Struct):
    """An order; the content is kept as it came.

    :param fencing: without it an order is older than all that have it.
    """

    fencing: int = 0
    content: Any = None


class LoadContent(msgspec.Struct):
    """Content of an order to load models."""

    load_models: tuple[str, ...]


def models_of(order: Order) -> tuple[str, ...]:
    """Tell which models an order loads, none for an order of another sort."""
    try:
        return msgspec.convert(order.content, LoadContent).load_models
    except msgspec.ValidationError:
        return ()


class OrderBook:
    """Orders that were accepted, in their order."""

    def __init__(self, fence: Fence) -> None:
        """Start with no orders."""
        self.accepted: list[Order] = []
        self._fence = fence

    def take(self, body: bytes) -> bool:
        """Accept an order or refuse it as too old.

        :raises msgspec.MsgspecError: the body is no order.
        """
        order = msgspec.json.decode(body, type=Order)
        if not self._fence.admits(order.fencing):
            return False
        self.accepted.append(order)
        return True
