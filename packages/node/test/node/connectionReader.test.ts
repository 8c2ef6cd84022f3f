import { createServer, type Server, type ServerResponse } from 'node:http'
import { type AddressInfo, createConnection, type Socket } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { ClientLimit, ConnectionGuard, type ConnectionGuardOptions } from '../../src/node/connectionGuard.js'

const REQUEST = 'GET / HTTP/1.1\r\nHost: h\r\n\r\n'
/** Fit in one read of 64 KB. */
const FLOOD_REQUESTS = 1_000

interface Context {
  server: Server
  open: ServerResponse[]
  limits: string[]
  highestOpenCount: number
}

async function listen (options: Partial<ConnectionGuardOptions>): Promise<Context> {
  const server = createServer()
  const context: Context = { server, open: [], limits: [], highestOpenCount: 0 }
  const guard = new ConnectionGuard({ server, onLimit: (_address, limit) => context.limits.push(limit), ...options })
  server.on('request', (request, response) => {
    guard.begin(request, response, () => ({
      start: () => {
        context.open.push(response)
        context.highestOpenCount = Math.max(context.highestOpenCount, context.open.length)
      },
      drop: () => response.writeHead(503).end()
    }))
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  return context
}

function connect ({ server }: Context): Socket {
  const socket = createConnection({ host: '127.0.0.1', port: (server.address() as AddressInfo).port })
  socket.on('error', () => {})
  return socket
}

async function until (isReached: () => boolean): Promise<void> {
  const endMs = performance.now() + 5_000
  while (!isReached()) {
    assert.ok(performance.now() < endMs, 'not reached within 5 s')
    await new Promise(resolve => setImmediate(resolve))
  }
}

const test = suite('connections of callers')

// Guards against memory that grows with the requests that one read brings, and against requests that are lost while they wait.
test('of 2,000 requests in one write no more than the limit are open, and all are answered', async () => {
  const context = await listen({ maxOpenRequests: 8 })
  const socket = connect(context)
  let received = ''
  socket.on('data', chunk => { received += chunk.toString('latin1') })
  socket.write(REQUEST.repeat(2_000))
  const answers = (): number => received.split('HTTP/1.1 200').length - 1
  await until(() => {
    context.open.splice(0, 4).forEach(response => response.end())
    return answers() === 2_000
  })
  assert.ok(context.highestOpenCount <= 8, String(context.highestOpenCount))
  socket.destroy()
  context.server.close()
})

// Guards against answers that are lost because the connection is closed before them.
test('requests that wait too long are refused in order or never run, and the connection is closed after the answers of those that run', async () => {
  const context = await listen({ maxOpenRequests: 8 })
  const socket = connect(context)
  let received = ''
  socket.on('data', chunk => { received += chunk.toString('latin1') })
  socket.write(REQUEST.repeat(2_000))
  await until(() => context.limits.includes(ClientLimit.OpenRequests))
  assert.is(context.open.length, 8)
  for (const response of context.open) response.end()
  await until(() => socket.destroyed)
  assert.equal([...received.matchAll(/HTTP\/1\.1 (\d+)/g)].slice(0, 9).map(([, status]) => status), [...Array.from({ length: 8 }, () => '200'), '503'])
  context.server.close()
})

// Guards against a client whose requests are answered at once, and which keeps all others waiting until the last one that it sent.
test('requests of one connection that are answered at once leave the others their turn', async () => {
  const server = createServer()
  const guard = new ConnectionGuard({ server, maxOpenRequests: 4 })
  let floodCount = 0
  let floodCountBeforeOther: number | undefined
  server.on('request', (request, response) => {
    guard.begin(request, response, () => ({
      start: () => {
        if (request.url === '/other') floodCountBeforeOther = floodCount
        else if (++floodCount === 1) other.write(REQUEST.replace('/', '/other'))
        const endMs = performance.now() + 1
        while (performance.now() < endMs);
        response.end()
      },
      drop: () => response.destroy()
    }))
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as AddressInfo
  const [flood, other] = [createConnection({ host: '127.0.0.1', port }), createConnection({ host: '127.0.0.1', port })]
  for (const socket of [flood, other]) socket.on('error', () => {}).resume()
  flood.write(REQUEST.repeat(FLOOD_REQUESTS))
  await until(() => floodCountBeforeOther !== undefined)
  assert.ok(floodCountBeforeOther as number < FLOOD_REQUESTS / 10, `${floodCountBeforeOther} requests of the flood ran first`)
  flood.destroy()
  other.destroy()
  server.close()
})

test('beyond the limit on connections a client is closed and reported', async () => {
  const context = await listen({ maxConnections: 2 })
  const sockets = [connect(context), connect(context), connect(context)]
  await until(() => sockets.some(socket => socket.destroyed))
  assert.equal(context.limits, [ClientLimit.Connections])
  for (const socket of sockets) socket.destroy()
  context.server.close()
})

test('a client that does not read its answer is cut off', async () => {
  const context = await listen({ readTimeoutMs: () => 100 })
  const socket = connect(context)
  socket.write(REQUEST)
  socket.pause()
  await until(() => context.open.length === 1)
  context.open[0].end(Buffer.alloc(32 * 1024 * 1024))
  await until(() => context.limits.includes(ClientLimit.UnreadAnswers))
  socket.destroy()
  context.server.close()
})

test.run()
