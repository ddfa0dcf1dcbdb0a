"""Ask an instance over HTTP what configuration it has in force."""

from __future__ import annotations

from contextlib import suppress
from http import HTTPStatus
from typing import Final

import anyio
import msgspec

from sardinetrack.catalogue.rollout import ConfigStatus
from sardinetrack.http.client import BrokenError, HttpClient, NotSentError
from sardinetrack.links.api import STATUS_PATH
from sardinetrack.messages.api import ConfigDigest
from sardinetrack.store.api import InstanceState, Platform

_ASK_SECONDS: Final = 1.0


class _Rejected(msgspec.Struct, frozen=True):
    key: str
    reasons: tuple[str, ...]


class _EntryPage(msgspec.Struct, frozen=True):
    instance: str
    revision: int
    digest: str
    rejected: tuple[_Rejected, ...]

    def config_status(self) -> ConfigStatus:
        rejected = {row.key: row.reasons for row in self.rejected}
        return ConfigStatus(
            self.instance,
            self.revision,
            self.digest,
            rejected,
        )


class _SidePage(msgspec.Struct, frozen=True):
    instance: str
    configuration: ConfigDigest

    def config_status(self) -> ConfigStatus:
        return ConfigStatus(
            self.instance,
            self.configuration.revision,
            self.configuration.digest,
        )


class StatusClient:
    """Asks the peer endpoints of instances."""

    def __init__(
        self,
        client: HttpClient,
        headers: tuple[tuple[str, str], ...],
    ) -> None:
        """Remember how to ask.

        :param headers: show the peer secret.
        """
        self._client = client
        self._headers = headers

    async def ask(self, address: str) -> ConfigStatus | None:
        """Ask one instance.

        :param address: ``IP:port``.
        :return: its answer, ``None`` when there is none.
        """
        try:
            with anyio.fail_after(_ASK_SECONDS):
                reply = await self._client.call(
                    'GET',
                    f'http://{address}{STATUS_PATH}',
                    headers=self._headers,
                    read_seconds=_ASK_SECONDS,
                )
        except (NotSentError, BrokenError, TimeoutError):
            return None
        return _status_of(reply.status, reply.body)


def _status_of(status: int, body: bytes) -> ConfigStatus | None:
    if status != HTTPStatus.OK:
        return None
    with suppress(msgspec.DecodeError):
        return msgspec.json.decode(body, type=_EntryPage).config_status()
    with suppress(msgspec.DecodeError):
        return msgspec.json.decode(body, type=_SidePage).config_status()
    return None


async def listed_addresses(platform: Platform) -> tuple[str, ...]:
    """Tell the peer addresses of all live instances."""
    rows = await platform.instances()
    return tuple(row.address for row in rows if row.state is InstanceState.LIVE)
