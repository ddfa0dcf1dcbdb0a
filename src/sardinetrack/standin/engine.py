"""Stand-in for a model engine that batches continuously."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Final

import anyio
import msgspec

from sardinetrack.http.asgi import HttpExchange
from sardinetrack.standin.base import (
    BAD_REQUEST,
    CONFLICT,
    NOT_FOUND,
    OK,
    Request,
    StandIn,
)
from sardinetrack.standin.engine_batch import PrefixCache
from sardinetrack.standin.engine_completion import Completion
from sardinetrack.standin.engine_load import LoadMeter, Sequence
from sardinetrack.standin.engine_load_commands import (
    LoadCommandLog,
    models_to_load,
)
from sardinetrack.standin.engine_prompt import ChatRequest, expected_words
from sardinetrack.standin.executions import Execution, Outcome
from sardinetrack.standin.hosting import run
from sardinetrack.standin.settings import EngineSettings

_STREAM_HEADERS: Final = (
    ('content-type', 'text/event-stream'),
    ('cache-control', 'no-cache'),
)


class Engine(StandIn):
    """Starts requests as they arrive; beyond the knee all slow down."""

    load_route = 'GET /load'

    def __init__(self, settings: EngineSettings) -> None:
        """Build an idle engine; needs a running event loop."""
        super().__init__(
            settings.faults,
            checks_fencing=settings.checks_fencing,
        )
        self._model = settings.model
        self._loaded: dict[str, None] = {}
        self._rates = settings.rates
        self._cache = PrefixCache(settings.rates.cache_blocks)
        self._load_commands = LoadCommandLog(self.fencing_check)
        self._meter = LoadMeter(
            settings.load_lag_seconds,
            settings.rates.kv_capacity_tokens,
            anyio.current_time(),
        )

    async def handle(self, request: Request) -> None:
        """Handle a completion, a load query or a load command."""
        match request.route:
            case 'POST /v1/chat/completions':
                await self._chat(request)
            case 'GET /v1/models':
                await self._list_models(request)
            case self.load_route:
                load = self._meter.report(anyio.current_time())
                await request.exchange.respond_json(OK, load)
            case 'POST /orders':
                await self._load_models(request)
            case 'GET /orders':
                accepted = self._load_commands.accepted
                await request.exchange.respond_json(OK, accepted)
            case _:
                await self.respond_error(request, NOT_FOUND)

    def restart(self) -> None:
        """Accept connections again, with empty caches and no loaded models."""
        super().restart()
        self._cache.clear()
        self._loaded.clear()

    def _models(self) -> tuple[str, ...]:
        return (self._model, *self._loaded)

    async def _list_models(self, request: Request) -> None:
        listed = [{'id': name, 'object': 'model'} for name in self._models()]
        content = {'object': 'list', 'data': listed}
        await request.exchange.respond_json(OK, content)

    async def _load_models(self, request: Request) -> None:
        try:
            accepted = self._load_commands.apply(request.body)
        except msgspec.MsgspecError:
            await self.respond_error(request, BAD_REQUEST)
            return
        if accepted:
            newest = self._load_commands.accepted[-1]
            self._loaded.update(dict.fromkeys(models_to_load(newest)))
        content = {'accepted': accepted, 'newest': self.fencing_check.newest}
        status = OK if accepted else CONFLICT
        await request.exchange.respond_json(status, content)

    async def _chat(self, request: Request) -> None:
        try:
            chat = msgspec.json.decode(request.body, type=ChatRequest)
        except msgspec.MsgspecError:
            await self.respond_error(request, BAD_REQUEST)
            return
        if chat.model not in self._models():
            await self.respond_error(request, NOT_FOUND)
            return
        with self.executions.running(chat.key) as execution:
            if self.faults.current.crashes_on(chat.text):
                await self.crash()
            await self._run(request, chat, execution)

    async def _run(
        self,
        request: Request,
        chat: ChatRequest,
        execution: Execution,
    ) -> None:
        prompt = chat.text.split()
        cached_tokens = self._cache.look_up_and_insert(prompt)
        completion = Completion(
            chat,
            execution.ordinal,
            len(prompt),
            cached_tokens,
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_cancel_on_disconnect, request.exchange, execution)
            if chat.stream:
                await self._respond_streamed(request, completion, execution)
            else:
                await self._respond_plain(request, completion, execution)
            tasks.cancel_scope.cancel()

    async def _respond_streamed(
        self,
        request: Request,
        completion: Completion,
        execution: Execution,
    ) -> None:
        if self.faults.current.error_status is not None:
            await self._respond_plain(request, completion, execution)
            return
        exchange = request.exchange
        await anyio.sleep(self.faults.current.late_seconds)
        await exchange.start(OK, _STREAM_HEADERS)
        await exchange.write(completion.first_event())
        async for word in self._generate(request, completion, execution):
            await exchange.write(completion.token_event(word))
        execution.finish()
        await exchange.finish(completion.final_events())

    async def _respond_plain(
        self,
        request: Request,
        completion: Completion,
        execution: Execution,
    ) -> None:
        words = self._generate(request, completion, execution)
        text = ''.join([word async for word in words])
        execution.finish()
        faults = self.faults.current
        await anyio.sleep(faults.late_seconds)
        if faults.error_status is not None:
            await self.respond_error(request, faults.error_status)
            return
        await request.exchange.respond_json(OK, completion.plain_body(text))

    async def _generate(
        self,
        request: Request,
        completion: Completion,
        execution: Execution,
    ) -> AsyncIterator[str]:
        chat = completion.chat
        prefill_seconds = self._rates.prefill_seconds(
            completion.prompt_tokens,
            completion.cached_tokens,
        )
        with Sequence(self._meter, completion.prompt_tokens) as sequence:
            await anyio.sleep(prefill_seconds)
            sequence.start_decode()
            for position, word in enumerate(
                expected_words(chat.key, chat.output_tokens)
            ):
                await self._wait_for_token(request, execution, position)
                sequence.count_token()
                yield word
            await self._abort_at(request, execution, chat.output_tokens)

    async def _wait_for_token(
        self,
        request: Request,
        execution: Execution,
        position: int,
    ) -> None:
        await anyio.sleep(self._rates.token_seconds(self._meter.running))
        await self.faults.wait_unfrozen()
        await self._abort_at(request, execution, position)

    async def _abort_at(
        self,
        request: Request,
        execution: Execution,
        position: int,
    ) -> None:
        if self.faults.current.cut_after_chunks == position:
            await self.abort_connection(request, execution)


async def _cancel_on_disconnect(
    exchange: HttpExchange, execution: Execution
) -> None:
    await exchange.wait_for_disconnect()
    execution.stop(Outcome.CANCELLED)


async def run_engine(settings: EngineSettings) -> None:
    """Serve a model engine until cancelled."""
    await run(Engine(settings), settings.ip, settings.port)
