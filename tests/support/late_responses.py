"""Acts of a scripted server that sends more than one response."""

from __future__ import annotations


class LateResponses:
    """For :class:`ScriptedServer`; what is late precedes its next response."""

    async def _answer_twice(self, fields, reader, writer):
        await self._answer(fields, reader, writer)
        self._whole(fields, writer, '200 OK', b'nobody asked')

    async def _answer_and_junk(self, fields, reader, writer):
        await self._answer(fields, reader, writer)
        writer.write(b'\x00 no response')

    async def _answer_and_begin(self, fields, reader, writer):
        await self._answer(fields, reader, writer)
        writer.write(b'HTTP/1.1 50')

    async def _answer_and_cut_header_late(self, fields, reader, writer):
        await self._answer(fields, reader, writer)
        self._late[writer] = _not_run(fields, '503 Full')[:50]

    async def _answer_and_cut_status_late(self, fields, reader, writer):
        await self._answer(fields, reader, writer)
        self._late[writer] = _not_run(fields, '503 Full')[:15]

    async def _bare_with_body(self, fields, reader, writer):
        await self._bare(fields, reader, writer)
        writer.write(bytes(10))

    async def _answer_other(self, fields, reader, writer):
        other = {**fields, 'x-sardinetrack-request-id': 'another'}
        self._whole(other, writer, '200 OK', b'for another caller')

    async def _answer_other_and_shed(self, fields, reader, writer):
        await self._answer_other(fields, reader, writer)
        await self._shed(fields, reader, writer)

    async def _answer_and_shed_late(self, fields, reader, writer):
        await self._answer(fields, reader, writer)
        self._late[writer] = _not_run(fields, '503 Full')

    async def _answer_and_misdirect_late(self, fields, reader, writer):
        await self._answer(fields, reader, writer)
        self._late[writer] = _not_run(fields, '421 Another')

    async def _answer_and_repeat_late(self, fields, reader, writer):
        await self._answer(fields, reader, writer)
        self._late[writer] = self._response(fields, '200 OK', b'late')

    async def _cut_body_and_repeat(self, fields, reader, writer):
        whole = self._response(fields, '200 OK', b'x' * 300)
        writer.write(whole[:-250])
        writer.write(whole)

    async def _fail_and_repeat_late(self, fields, reader, writer):
        await self._fail(fields, reader, writer)
        self._late[writer] = self._response(fields, '500 Oops', b'late')

    async def _follow(self, fields, reader, writer):
        last_id = self.requests[-2][1]['x-sardinetrack-request-id']
        writer.write(self._preceding(last_id))
        await self._answer(fields, reader, writer)


def _not_run(fields, status):
    request_id = fields['x-sardinetrack-request-id']
    return (
        f'HTTP/1.1 {status}\r\nX-Sardinetrack-Not-Processed: 1\r\n'
        f'X-Sardinetrack-Request-Id: {request_id}\r\n'
        'X-Sardinetrack-Server-Load: 90,9,8\r\nContent-Length: 0\r\n\r\n'
    ).encode()
