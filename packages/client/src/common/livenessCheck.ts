/** Detects that a node no longer responds although its connections are still open. */
import type { ICallerTransport, IClientHost, SendOptions, TransportResult } from './transport.js'
import type { CallerRequest } from '@trefoilshunt/core'

/** Time without a chunk after which the node is checked, and the period of the checks. */
const NO_RESPONSE_MS = 4_000
const CHECK_TIMEOUT_MS = 2_000
const MAX_FAILED_CHECKS = 2

/** Sends a request. While no chunk arrives, checks the node with short queries and aborts the request when they fail repeatedly. */
export async function sendWithLivenessCheck (transport: ICallerTransport, host: IClientHost, address: string, request: CallerRequest, options: SendOptions): Promise<TransportResult> {
  const pending = { isOver: false, lastResponseMs: host.nowMs(), abort: () => {} }
  const sent = transport.send(address, request, {
    ...options,
    onChunk: options.onChunk === undefined
      ? undefined
      : (text, tokens) => {
          pending.lastResponseMs = host.nowMs()
          options.onChunk?.(text, tokens)
        },
    onAbort: abort => { pending.abort = abort }
  })
  void checkLiveness(transport, host, address, pending)
  const result = await sent
  pending.isOver = true
  return result
}

/** A request whose node is being checked. */
interface PendingRequest {
  isOver: boolean
  /** When it was sent, or when its last chunk arrived. */
  lastResponseMs: number
  abort: () => void
}

async function checkLiveness (transport: ICallerTransport, host: IClientHost, address: string, pending: PendingRequest): Promise<void> {
  let failedChecks = 0
  for (;;) {
    await host.sleep(NO_RESPONSE_MS)
    if (pending.isOver) return
    if (host.nowMs() - pending.lastResponseMs < NO_RESPONSE_MS) continue
    const result = await transport.send(address, { type: 'addresses' }, { timeoutMs: CHECK_TIMEOUT_MS })
    if (pending.isOver) return
    failedChecks = result.type === 'reply' ? 0 : failedChecks + 1
    if (failedChecks >= MAX_FAILED_CHECKS) {
      pending.abort()
      return
    }
  }
}
