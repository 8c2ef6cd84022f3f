/** Sends operators' requests to the first reachable node. */
import { type Either, Left, Right } from 'purify-ts'
import type { CallerReply, CallerRequest } from '@trefoilshunt/core'
import { HttpTransport } from '@trefoilshunt/client'

const TIMEOUT_MS = 15_000

/** How to reach the nodes as an operator. */
export interface ConnectionOptions {
  /** Addresses of nodes, tried in turn. */
  address: string[]
  /** Bearer key of the operator. */
  key: string
}

/**
 * Sends a request to the addresses in turn until a node replies; Left describes the last failure. Once a request has been sent without a reply
 * it is not sent to another node, because the first one may have executed it.
 */
export async function sendOperatorRequest (options: ConnectionOptions, request: CallerRequest): Promise<Either<string, CallerReply>> {
  const transport = new HttpTransport({ key: options.key })
  try {
    let problem = 'no address given'
    for (const address of options.address) {
      const result = await transport.send(address, request, { timeoutMs: TIMEOUT_MS })
      if (result.type === 'reply') return Right(result.reply)
      problem = `${address}: ${result.detail}`
      if (result.wasSent) break
    }
    return Left(problem)
  } finally {
    await transport.close()
  }
}
