/** Calls of the client for engines and services to servers that send bytes without end: memory stays bounded, and the connection is closed. */
import { type AddressInfo, createServer, type Server } from 'node:net'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { BackendEvent, BackendRequest } from '@trefoilshunt/core'
import { BackendClient } from '@trefoilshunt/node'
import { type EndlessAnswer, EndlessServer } from '@trefoilshunt/standins'

/** The largest answer that is accepted, and what the socket buffers of both ends hold. */
const MAX_SENT_BYTES = 88 * 1024 * 1024
const CLOSED_WITHIN_MS = 3_000
const TIMEOUT_MS = 20_000

const MODEL: BackendRequest = { type: 'model', session: 's', prompt: 'x', maxTokens: 1, priority: 0 } as unknown as BackendRequest
const SERVICE: BackendRequest = { type: 'service', path: '/x', body: {} } as unknown as BackendRequest
const STATUS: BackendRequest = { type: 'status' }
const RELEASE: BackendRequest = { type: 'release', session: 's' }

const CHUNKED = 'Transfer-Encoding: chunked\r\n\r\n'
const STREAM_HEAD = `HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n${CHUNKED}`
const DONE = 'data: [DONE]\n\n'

function toChunk (text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`
}

async function call (request: BackendRequest, answer: EndlessAnswer): Promise<{ event: BackendEvent, sentBytes: number }> {
  const server = new EndlessServer({ respond: () => answer })
  await server.listen()
  const client = new BackendClient()
  try {
    const event = await new Promise<BackendEvent>(resolve => {
      client.call(server.address, request, TIMEOUT_MS, backendEvent => { if (backendEvent.type !== 'chunk') resolve(backendEvent) })
    })
    const endMs = performance.now() + CLOSED_WITHIN_MS
    while (server.openCount > 0) {
      assert.ok(performance.now() < endMs, `${server.sentBytes} bytes were sent and the connection is open`)
      await new Promise<void>(resolve => { setTimeout(resolve, 20) })
    }
    assert.ok(server.sentBytes < MAX_SENT_BYTES, `${server.sentBytes} bytes were sent`)
    return { event, sentBytes: server.sentBytes }
  } finally {
    await client.close()
    await server.close()
  }
}

const BLOCK = toChunk('x'.repeat(0x4000))

test('a stream that goes on without end after its last event is closed and counts as answered', async () => {
  const { event } = await call(MODEL, { start: `${STREAM_HEAD}${toChunk(DONE)}`, repeated: BLOCK })
  assert.is(event.type, 'modelDone')
})

test('an event without end fails the call, and not as a crash of the engine', async () => {
  const { event } = await call(MODEL, { start: `${STREAM_HEAD}${toChunk('data: ')}`, repeated: BLOCK })
  assert.ok(event.type === 'failed' && !event.isUntouched && !event.isConnectionLost, JSON.stringify(event))
})

test('a refusal whose body does not end is still reported as not run', async () => {
  const { event } = await call(MODEL, { start: `HTTP/1.1 503 Full\r\nX-Not-Run: true\r\n${CHUNKED}`, repeated: BLOCK })
  assert.ok(event.type === 'failed' && event.isUntouched, JSON.stringify(event))
})

for (const [name, request] of [['a service answer', SERVICE], ['a status report', STATUS], ['an acknowledgement', RELEASE]] as const) {
  test(`${name} whose body does not end fails the call`, async () => {
    const { event } = await call(request, { start: `HTTP/1.1 200 OK\r\n${CHUNKED}`, repeated: BLOCK })
    assert.is(event.type, 'failed')
  })
}

for (const [name, answer] of [
  ['a status line', { start: 'HTTP/1.1 200 ', repeated: 'x' }],
  ['informational heads', { start: '', repeated: 'HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n' }],
  ['a chunk extension', { start: `HTTP/1.1 200 OK\r\n${CHUNKED}5;`, repeated: 'x' }]
] as const) {
  test(`${name} without end fail the call`, async () => {
    const { event } = await call(STATUS, answer)
    assert.is(event.type, 'failed')
  })
}

/** Refuses the first request on each connection and answers each later one with `repeated`. */
async function listenWithRefusals (repeated: string): Promise<{ server: Server, address: string }> {
  const server = createServer(socket => {
    let count = 0
    socket.on('error', () => {})
    socket.on('data', chunk => {
      const requestId = /^x-request-id: (.*)\r$/im.exec(chunk.toString('latin1'))?.[1] ?? ''
      const headers = count++ === 0 ? `X-Request-Id: ${requestId}\r\n` : repeated
      socket.write(`HTTP/1.1 503 Full\r\nX-Not-Run: true\r\n${headers}Content-Length: 2\r\n\r\n{}`)
    })
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  return { server, address: `127.0.0.1:${(server.address() as AddressInfo).port}` }
}

for (const [name, repeated] of [['without an id', ''], ['with the id of another request', 'X-Request-Id: other\r\n']]) {
  test(`a refusal ${name}, in place of a later answer on a connection, does not prove that the request was not run`, async () => {
    const { server, address } = await listenWithRefusals(repeated)
    const client = new BackendClient()
    try {
      const outcomes: boolean[] = []
      for (let index = 0; index < 2; index++) {
        const event = await new Promise<BackendEvent>(resolve => { client.call(address, MODEL, TIMEOUT_MS, resolve) })
        assert.ok(event.type === 'failed')
        outcomes.push(event.isUntouched)
        // The connection is free for the next call one turn of the event loop after its answer.
        await new Promise<void>(resolve => { setTimeout(resolve, 20) })
      }
      assert.equal(outcomes, [true, false])
    } finally {
      await client.close()
      server.close()
    }
  })
}

test.run()
