/** Finds out that a node has stopped answering while its connections stay open. */
import type { ICallerTransport, IClientHost, SendOptions, TransportResult } from './transport.js'
import type { CallerRequest } from '@trefoilshunt/core'

const SILENCE_MS = 4_000
const CHECK_TIMEOUT_MS = 2_000
const FAILURES_TO_GIVE_UP = 2

/** Sends a request; while it is silent for long, small queries test the node, and when they fail the request is given up. */
export async function sendWatched (transport: ICallerTransport, host: IClientHost, address: string, request: CallerRequest, options: SendOptions): Promise<TransportResult> {
  const watch = { isOver: false, lastSignMs: host.nowMs(), abort: () => {} }
  const sent = transport.send(address, request, {
    ...options,
    onChunk: options.onChunk === undefined
      ? undefined
      : (text, tokens) => {
          watch.lastSignMs = host.nowMs()
          options.onChunk?.(text, tokens)
        },
    onAbort: abort => { watch.abort = abort }
  })
  void watchNode(transport, host, address, watch)
  const result = await sent
  watch.isOver = true
  return result
}

interface Watch {
  isOver: boolean
  lastSignMs: number
  abort: () => void
}

async function watchNode (transport: ICallerTransport, host: IClientHost, address: string, watch: Watch): Promise<void> {
  let failures = 0
  for (;;) {
    await host.sleep(SILENCE_MS)
    if (watch.isOver) return
    if (host.nowMs() - watch.lastSignMs < SILENCE_MS) continue
    const result = await transport.send(address, { type: 'addresses' }, { timeoutMs: CHECK_TIMEOUT_MS })
    if (watch.isOver) return
    failures = result.type === 'reply' ? 0 : failures + 1
    if (failures >= FAILURES_TO_GIVE_UP) {
      watch.abort()
      return
    }
  }
}
