/** Reads request bodies within limits of size and time. */
import type { IncomingMessage } from 'node:http'
import { ByteCollector } from './byteCollector.js'

/** The body as text, or why it was not read. `aborted` means that the connection ended first. */
export type BodyOutcome = { type: 'read', text: string } | { type: 'tooLarge' } | { type: 'tooSlow' } | { type: 'aborted' }

/** Reads a complete UTF-8 body of at most `limitBytes`, within `timeoutMs` if given. Never rejects. */
export async function readBody (request: IncomingMessage, limitBytes: number, timeoutMs?: number): Promise<BodyOutcome> {
  return await new Promise(resolve => {
    const received = new ByteCollector()
    const timer = timeoutMs === undefined ? undefined : setTimeout(() => finish({ type: 'tooSlow' }), timeoutMs)
    const finish = (outcome: BodyOutcome) => {
      clearTimeout(timer)
      resolve(outcome)
    }
    request.on('data', (chunk: Buffer) => {
      if (received.byteCount + chunk.length > limitBytes) finish({ type: 'tooLarge' })
      else received.add(chunk)
    })
    request.on('end', () => finish({ type: 'read', text: received.concat().toString('utf8') }))
    request.on('error', () => finish({ type: 'aborted' }))
    request.on('close', () => finish({ type: 'aborted' }))
  })
}
