/** Reads request bodies within limits of size and time. */
import type { IncomingMessage } from 'node:http'

/** The body as text, or why it was not read. `aborted` means that the connection ended first. */
export type BodyOutcome = { type: 'read', text: string } | { type: 'tooLarge' } | { type: 'tooSlow' } | { type: 'aborted' }

/** Reads a complete UTF-8 body of at most `limitBytes`, within `timeoutMs` if given. Never rejects. */
export async function readBody (request: IncomingMessage, limitBytes: number, timeoutMs?: number): Promise<BodyOutcome> {
  return await new Promise(resolve => {
    const chunks: Buffer[] = []
    let receivedBytes = 0
    const timer = timeoutMs === undefined ? undefined : setTimeout(() => finish({ type: 'tooSlow' }), timeoutMs)
    const finish = (outcome: BodyOutcome) => {
      clearTimeout(timer)
      resolve(outcome)
    }
    request.on('data', (chunk: Buffer) => {
      receivedBytes += chunk.length
      if (receivedBytes > limitBytes) finish({ type: 'tooLarge' })
      else chunks.push(chunk)
    })
    request.on('end', () => finish({ type: 'read', text: Buffer.concat(chunks).toString('utf8') }))
    request.on('error', () => finish({ type: 'aborted' }))
    request.on('close', () => finish({ type: 'aborted' }))
  })
}
