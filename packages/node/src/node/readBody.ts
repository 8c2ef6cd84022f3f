/** Reads request bodies within limits. */
import type { IncomingMessage } from 'node:http'

export type BodyOutcome = { type: 'read', text: string } | { type: 'tooLarge' } | { type: 'tooSlow' } | { type: 'aborted' }

/** Reads a whole body of at most `limitBytes`, within `timeoutMs` if given. */
export async function readBody (request: IncomingMessage, limitBytes: number, timeoutMs?: number): Promise<BodyOutcome> {
  return await new Promise(resolve => {
    const parts: Buffer[] = []
    let size = 0
    const timer = timeoutMs === undefined ? undefined : setTimeout(() => settle({ type: 'tooSlow' }), timeoutMs)
    const settle = (outcome: BodyOutcome) => {
      clearTimeout(timer)
      resolve(outcome)
    }
    request.on('data', (part: Buffer) => {
      size += part.length
      if (size > limitBytes) settle({ type: 'tooLarge' })
      else parts.push(part)
    })
    request.on('end', () => settle({ type: 'read', text: Buffer.concat(parts).toString('utf8') }))
    request.on('error', () => settle({ type: 'aborted' }))
    request.on('close', () => settle({ type: 'aborted' }))
  })
}
