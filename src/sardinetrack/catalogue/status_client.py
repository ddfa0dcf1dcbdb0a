"""Query over HTTP which configuration is active at an instance."""

from __future__ import annotations

from contextlib import suppress
from http import HTTPStatus
from typing import Final

import anyio
import msgspec

from sardinetrack.catalogue.rollout import ConfigStatus
from sardinetrack.http.client import (
    ConnectionBrokenError,
    HttpClient,
    RequestNotSentError,
)
from sardinetrack.links.api import STATUS_PATH
from sardinetrack.messages.api import ConfigDigest
from sardinetrack.messages.json_input import JsonDecoder, UnreadableError
from sardinetrack.store.api import InstanceState, Platform

_QUERY_TIMEOUT_SECONDS: Final = 1.0


class _RejectedEntry(msgspec.Struct, frozen=True):
    key: str
    reasons: tuple[str, ...]


class _EntryStatusPage(msgspec.Struct, frozen=True):
    instance: str
    revision: int
    digest: str
    rejected: tuple[_RejectedEntry, ...]

    def config_status(self) -> ConfigStatus:
        rejected = {
            rejection.key: rejection.reasons for rejection in self.rejected
        }
        return ConfigStatus(
            self.instance,
            self.revision,
            self.digest,
            rejected,
        )


class _SideStatusPage(msgspec.Struct, frozen=True):
    instance: str
    configuration: ConfigDigest

    def config_status(self) -> ConfigStatus:
        return ConfigStatus(
            self.instance,
            self.configuration.revision,
            self.configuration.digest,
        )


_ENTRY_PAGES: Final = JsonDecoder[_EntryStatusPage](_EntryStatusPage)
_SIDE_PAGES: Final = JsonDecoder[_SideStatusPage](_SideStatusPage)


class StatusClient:
    """Queries the peer endpoints of instances."""

    def __init__(
        self,
        client: HttpClient,
        headers: tuple[tuple[str, str], ...],
    ) -> None:
        """Create a client.

        :param client: an open HTTP client; its owner closes it.
        :param headers: headers that carry the peer secret.
        """
        self._client = client
        self._headers = headers

    async def fetch_status(self, address: str) -> ConfigStatus | None:
        """Query one instance.

        :param address: ``IP:port``.
        :return: the status, ``None`` if there is no response.
        """
        try:
            with anyio.fail_after(_QUERY_TIMEOUT_SECONDS):
                response = await self._client.call(
                    'GET',
                    f'http://{address}{STATUS_PATH}',
                    headers=self._headers,
                    read_timeout_seconds=_QUERY_TIMEOUT_SECONDS,
                )
        except (RequestNotSentError, ConnectionBrokenError, TimeoutError):
            return None
        return _decode_status(response.status, response.body)


def _decode_status(status: int, body: bytes) -> ConfigStatus | None:
    if status != HTTPStatus.OK:
        return None
    with suppress(UnreadableError):
        return _ENTRY_PAGES.decode(body).config_status()
    with suppress(UnreadableError):
        return _SIDE_PAGES.decode(body).config_status()
    return None


async def live_peer_addresses(platform: Platform) -> tuple[str, ...]:
    """Return the peer addresses of all live instances."""
    listed = await platform.instances()
    return tuple(
        one.address for one in listed if one.state is InstanceState.LIVE
    )
