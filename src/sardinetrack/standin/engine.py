"""Stand-in for a model engine that batches continuously."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Final

import anyio
import msgspec

from sardinetrack.http.asgi import Exchange
from sardinetrack.standin.base import (
    BAD_REQUEST,
    CONFLICT,
    NOT_FOUND,
    OK,
    Request,
    StandIn,
)
from sardinetrack.standin.engine_answer import Completion
from sardinetrack.standin.engine_batch import PrefixCache
from sardinetrack.standin.engine_load import LoadMeter, Sequence
from sardinetrack.standin.engine_orders import OrderBook, models_of
from sardinetrack.standin.engine_prompt import ChatRequest, answer_words
from sardinetrack.standin.executions import Execution, Outcome
from sardinetrack.standin.hosting import run
from sardinetrack.standin.settings import EngineSettings

_STREAM_HEADERS: Final = (
    ('content-type', 'text/event-stream'),
    ('cache-control', 'no-cache'),
)


class Engine(StandIn):
    """Admits requests as they come; past the knee all slow down."""

    def __init__(self, settings: EngineSettings) -> None:
        """Build an idle engine inside a running event loop."""
        super().__init__(
            settings.faults,
            checks_fencing=settings.checks_fencing,
        )
        self._model = settings.model
        self._loaded: dict[str, None] = {}
        self._rates = settings.rates
        self._cache = PrefixCache(settings.rates.cache_blocks)
        self._orders = OrderBook(self.fence)
        self._meter = LoadMeter(
            settings.load_lag_seconds,
            settings.rates.kv_capacity_tokens,
            anyio.current_time(),
        )

    async def handle(self, request: Request) -> None:
        """Answer a request for a completion, the load or an order."""
        match request.route:
            case 'POST /v1/chat/completions':
                await self._chat(request)
            case 'GET /v1/models':
                await self._list_models(request)
            case 'GET /load':
                load = self._meter.report(anyio.current_time())
                await request.exchange.answer_json(OK, load)
            case 'POST /orders':
                await self._order(request)
            case 'GET /orders':
                accepted = self._orders.accepted
                await request.exchange.answer_json(OK, accepted)
            case _:
                await self.answer_error(request, NOT_FOUND)

    def restart(self) -> None:
        """Come back with an empty cache."""
        super().restart()
        self._cache.clear()
        self._loaded.clear()

    def _models(self) -> tuple[str, ...]:
        return (self._model, *self._loaded)

    async def _list_models(self, request: Request) -> None:
        listed = [{'id': name, 'object': 'model'} for name in self._models()]
        content = {'object': 'list', 'data': listed}
        await request.exchange.answer_json(OK, content)

    async def _order(self, request: Request) -> None:
        try:
            accepted = self._orders.take(request.body)
        except msgspec.MsgspecError:
            await self.answer_error(request, BAD_REQUEST)
            return
        if accepted:
            newest = self._orders.accepted[-1]
            self._loaded.update(dict.fromkeys(models_of(newest)))
        content = {'accepted': accepted, 'newest': self.fence.newest}
        status = OK if accepted else CONFLICT
        await request.exchange.answer_json(status, content)

    async def _chat(self, request: Request) -> None:
        try:
            chat = msgspec.json.decode(request.body, type=ChatRequest)
        except msgspec.MsgspecError:
            await self.answer_error(request, BAD_REQUEST)
            return
        if chat.model not in self._models():
            await self.answer_error(request, NOT_FOUND)
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
        cached_tokens = self._cache.take(prompt)
        completion = Completion(
            chat,
            execution.ordinal,
            len(prompt),
            cached_tokens,
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_cancel_when_gone, request.exchange, execution)
            if chat.stream:
                await self._stream(request, completion, execution)
            else:
                await self._plain(request, completion, execution)
            tasks.cancel_scope.cancel()

    async def _stream(
        self,
        request: Request,
        completion: Completion,
        execution: Execution,
    ) -> None:
        if self.faults.current.error_status is not None:
            await self._plain(request, completion, execution)
            return
        exchange = request.exchange
        await anyio.sleep(self.faults.current.late_seconds)
        await exchange.start(OK, _STREAM_HEADERS)
        await exchange.write(completion.first())
        async for word in self._words(request, completion, execution):
            await exchange.write(completion.word(word))
        execution.finish()
        await exchange.finish(completion.last())

    async def _plain(
        self,
        request: Request,
        completion: Completion,
        execution: Execution,
    ) -> None:
        words = self._words(request, completion, execution)
        text = ''.join([word async for word in words])
        execution.finish()
        faults = self.faults.current
        await anyio.sleep(faults.late_seconds)
        if faults.error_status is not None:
            await self.answer_error(request, faults.error_status)
            return
        await request.exchange.answer_json(OK, completion.whole(text))

    async def _words(
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
            sequence.decode()
            for position, word in enumerate(
                answer_words(chat.key, chat.tokens)
            ):
                await self._pace(request, execution, position)
                sequence.token()
                yield word
            await self._cut_at(request, execution, chat.tokens)

    async def _pace(
        self,
        request: Request,
        execution: Execution,
        position: int,
    ) -> None:
        await anyio.sleep(self._rates.token_seconds(self._meter.running))
        await self.faults.thawed()
        await self._cut_at(request, execution, position)

    async def _cut_at(
        self,
        request: Request,
        execution: Execution,
        position: int,
    ) -> None:
        if self.faults.current.cut_after_chunks == position:
            await self.cut(request, execution)


async def _cancel_when_gone(exchange: Exchange, execution: Execution) -> None:
    await exchange.wait_for_disconnect()
    execution.stop(Outcome.CANCELLED)


async def run_engine(settings: EngineSettings) -> None:
    """Serve a model engine until cancelled."""
    await run(Engine(settings), settings.ip, settings.port)
