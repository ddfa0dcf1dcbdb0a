"""Validated models of the two kinds of catalogue entries."""

from __future__ import annotations

from typing import Annotated, Final, Literal

from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    ValidationInfo,
    field_validator,
)

from sardinetrack.catalogue.api import (
    CATALOGUE_PREFIX,
    CatalogueKind,
    Pool,
    PoolClass,
    RepeatableCall,
    ServiceClass,
    Workspace,
    WorkspaceLimits,
)
from sardinetrack.catalogue.defaults import (
    MAX_BODY_BYTES,
    MAX_RUN_SECONDS,
    PROMPT_TOKEN_COST,
    SLOTS_PER_SERVER,
    default_limits,
)

_MAX_OWNER_LENGTH: Final = 200
_MAX_WEIGHT: Final = 1000
_MAX_COUNT: Final = 100_000
_MAX_RATE_PER_SECOND: Final = 1_000_000
_MAX_BODY_BYTES: Final = 100_000_000
_MAX_RUN_SECONDS: Final = 86_400
_MAX_COST: Final = 1000


Name = Annotated[str, Field(pattern='^[a-z0-9][a-z0-9-]{0,62}$')]
Owner = Annotated[str, Field(min_length=1, max_length=_MAX_OWNER_LENGTH)]
ModelName = Annotated[str, Field(pattern='^[A-Za-z0-9][A-Za-z0-9._:/-]{0,99}$')]
TokenHash = Annotated[str, Field(pattern='^[0-9a-f]{64}$')]
Count = Annotated[int, Field(ge=1, le=_MAX_COUNT)]


class _StrictModel(BaseModel):
    model_config = ConfigDict(
        extra='forbid',
        frozen=True,
        strict=True,
        allow_inf_nan=False,
    )


class WorkspaceLimitsModel(_StrictModel):
    """Limits of a workspace; missing ones come from its class."""

    weight: Annotated[float, Field(gt=0, le=_MAX_WEIGHT)] | None = None
    concurrency: Count | None = None
    rate_per_second: (
        Annotated[float, Field(gt=0, le=_MAX_RATE_PER_SECOND)] | None
    ) = None
    waiting: Count | None = None


class WorkspaceModel(_StrictModel):
    """A workspace as written by its operator."""

    kind: Literal['workspace']
    name: Name
    owner: Owner
    service_class: Annotated[
        ServiceClass,
        Field(alias='class', strict=False),
    ] = ServiceClass.STANDARD
    limits: WorkspaceLimitsModel = WorkspaceLimitsModel()
    token_hashes: tuple[TokenHash, ...] = ()

    def to_catalogue_entry(self) -> Workspace:
        """Build the workspace that becomes active."""
        given = self.limits.model_dump(exclude_none=True)
        defaults = default_limits(self.service_class)
        return Workspace(
            name=self.name,
            owner=self.owner,
            service_class=self.service_class,
            limits=WorkspaceLimits(
                weight=given.get('weight', defaults.weight),
                concurrency=given.get('concurrency', defaults.concurrency),
                rate_per_second=given.get(
                    'rate_per_second',
                    defaults.rate_per_second,
                ),
                waiting=given.get('waiting', defaults.waiting),
            ),
            token_hashes=frozenset(self.token_hashes),
        )


class RepeatableModel(_StrictModel):
    """A call that can be repeated."""

    method: Annotated[str, Field(pattern='^[A-Z]{1,20}$')]
    path_prefix: Annotated[str, Field(pattern='^/', max_length=1000)]


class PoolLimitsModel(_StrictModel):
    """Limits of a pool."""

    slots_per_server: Count = SLOTS_PER_SERVER
    max_body_bytes: Annotated[int, Field(ge=1, le=_MAX_BODY_BYTES)] = (
        MAX_BODY_BYTES
    )
    max_run_seconds: Annotated[float, Field(gt=0, le=_MAX_RUN_SECONDS)] = (
        MAX_RUN_SECONDS
    )


class PoolModel(_StrictModel):
    """A pool as written by its operator."""

    kind: Literal['pool']
    name: Name
    owner: Owner
    pool_class: Annotated[PoolClass, Field(alias='class', strict=False)]
    limits: PoolLimitsModel = PoolLimitsModel()
    models: Annotated[
        tuple[ModelName, ...],
        Field(validate_default=True),
    ] = ()
    repeatable: tuple[RepeatableModel, ...] = ()
    checks_fencing: tuple[Name, ...] = ()
    prompt_token_cost: Annotated[float, Field(ge=0, le=_MAX_COST)] = (
        PROMPT_TOKEN_COST
    )

    @field_validator('models')
    @classmethod
    def models_fit_class(
        cls,
        models: tuple[str, ...],
        info: ValidationInfo,
    ) -> tuple[str, ...]:
        """Reject a model pool without models and a service pool with models."""
        pool_class = info.data.get('pool_class')
        if pool_class is PoolClass.MODEL and not models:
            raise ValueError('a pool of class model names at least one')
        if pool_class is PoolClass.SERVICE and models:
            raise ValueError('a pool of class service names none')
        return models

    def to_catalogue_entry(self) -> Pool:
        """Build the pool that becomes active."""
        return Pool(
            name=self.name,
            owner=self.owner,
            pool_class=self.pool_class,
            slots_per_server=self.limits.slots_per_server,
            max_body_bytes=self.limits.max_body_bytes,
            max_run_seconds=self.limits.max_run_seconds,
            models=self.models,
            repeatable=tuple(
                RepeatableCall(call.method, call.path_prefix)
                for call in self.repeatable
            ),
            checks_fencing=frozenset(self.checks_fencing),
            prompt_token_cost=self.prompt_token_cost,
        )


CatalogueEntryModel = Annotated[
    WorkspaceModel | PoolModel,
    Field(discriminator='kind'),
]


def key_of(kind: CatalogueKind, name: str) -> str:
    """Return the key of a catalogue entry in the platform's store."""
    return f'{CATALOGUE_PREFIX}{kind.value}/{name}'
