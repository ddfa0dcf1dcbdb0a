"""Format status pages as tables."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from typing import Final

from sardinetrack.cli.status_pages import (
    InstanceResponse,
    StatusPage,
    StatusUnavailableError,
    decode_page,
)
from sardinetrack.cli.table import Row, format_table
from sardinetrack.entry.status import EntryStatus, PoolStatus
from sardinetrack.side.events import SideStatusPage
from sardinetrack.store.api import InstanceState

_INSTANCES: Final = (
    'INSTANCE',
    'ROLE',
    'FAILURE DOMAIN',
    'STATE',
    'REVISION',
    'DIGEST',
)
_SIDES: Final = (
    'SIDE',
    'POOL',
    'BACKEND SERVER',
    'PHASE',
    'LIMIT',
    'RUNNING',
    'FREE',
)
_POOLS: Final = ('POOL', 'WAITING', 'RUNNING')
_REJECTED: Final = ('NOT IN FORCE', 'VERSION', 'AT', 'REASON')
_UNKNOWN: Final = '-'
_READY: Final = 'ready'
_NOT_READY: Final = 'not ready'


@dataclass(frozen=True, slots=True)
class _Table:
    headings: Sequence[str]
    rows: Sequence[Row]


@dataclass(frozen=True, slots=True)
class StatusTables:
    """Rows of the tables, filled page by page."""

    instances: list[Row] = field(default_factory=list)
    sides: dict[str, Row] = field(default_factory=dict)
    waiting: Counter[str] = field(default_factory=Counter)
    running: Counter[str] = field(default_factory=Counter)
    rejected: list[Row] = field(default_factory=list)

    def text(self) -> str:
        """Format the tables that have rows, with an empty line between them."""
        return '\n\n'.join(
            format_table(table.headings, table.rows)
            for table in self._tables()
            if table.rows
        )

    def add(self, page: StatusPage, state: str) -> None:
        """Add the page of one instance.

        :param state: the state to show for the instance.
        """
        if isinstance(page, EntryStatus):
            self._add_entry(page, state)
        else:
            self._add_side(page, state)

    def add_unavailable(self, response: InstanceResponse, problem: str) -> None:
        """Add a listed instance that returned no page."""
        listed = response.listed
        self.instances.append(
            (
                listed.instance,
                listed.role,
                listed.failure_domain,
                problem,
                _UNKNOWN,
                _UNKNOWN,
            ),
        )

    def _tables(self) -> Iterator[_Table]:
        yield _Table(_INSTANCES, self.instances)
        sides = [self.sides[name] for name in sorted(self.sides)]
        yield _Table(_SIDES, sides)
        pools = [
            (pool, self.waiting[pool], self.running[pool])
            for pool in sorted(self.waiting)
        ]
        yield _Table(_POOLS, pools)
        yield _Table(_REJECTED, self.rejected)

    def _add_entry(self, page: EntryStatus, state: str) -> None:
        self.instances.append(
            (
                page.instance,
                page.role,
                page.failure_domain,
                state,
                page.revision,
                page.digest,
            ),
        )
        for pool in page.pools:
            self._add_pool(pool)
        for row in page.rejected:
            reasons = '; '.join(row.reasons)
            self.rejected.append(
                (row.key, row.version, page.instance, reasons),
            )

    def _add_pool(self, pool: PoolStatus) -> None:
        self.waiting[pool.pool] += pool.waiting
        self.running[pool.pool] += pool.running
        for side in pool.sides:
            phase = side.phase if side.in_use else 'leaving'
            # A side's own page is newer and takes precedence.
            self.sides.setdefault(
                side.side,
                (
                    side.side,
                    pool.pool,
                    side.backend_server,
                    phase or _UNKNOWN,
                    side.limit,
                    side.running,
                    side.free,
                ),
            )

    def _add_side(self, page: SideStatusPage, state: str) -> None:
        self.instances.append(
            (
                page.instance,
                'side',
                page.failure_domain,
                state,
                page.configuration.revision,
                page.configuration.digest,
            ),
        )
        self.sides[page.instance] = (
            page.instance,
            page.pool,
            page.backend_server,
            page.load.phase.value,
            page.load.limit,
            page.load.running,
            page.load.free,
        )


def show_page(raw: bytes) -> str:
    """Format the page of one instance.

    :raises StatusUnavailableError: the page is not a status page.
    """
    page = decode_page(raw)
    tables = StatusTables()
    tables.add(page, _state_of(page))
    return tables.text()


def show_responses(responses: Sequence[InstanceResponse]) -> str:
    """Format the responses of all listed instances."""
    tables = StatusTables()
    for response in responses:
        try:
            page = decode_page(response.raw) if response.raw else None
        except StatusUnavailableError as error:
            tables.add_unavailable(response, str(error))
            continue
        if page is None:
            tables.add_unavailable(response, response.problem)
        elif response.listed.state is InstanceState.LEAVING:
            tables.add(page, f'listed as leaving, {_state_of(page)}')
        else:
            tables.add(page, _state_of(page))
    return tables.text()


def _state_of(page: StatusPage) -> str:
    if isinstance(page, SideStatusPage):
        return _READY if page.ready else _NOT_READY
    reasons = '; '.join(page.not_ready)
    return f'{_NOT_READY}: {reasons}' if reasons else _READY
