/** Identifies repeated requests. */
import { createHash } from 'node:crypto'
import type { RoutedRequest } from '../../common/routed/routedRequest.js'

/** Equal for a repeated request, whatever its id: hashes the caller's address, method, host, path and body. */
export function fingerprintOf ({ callerAddress, method, host, path, body }: RoutedRequest): string {
  return createHash('sha256').update(`${callerAddress} ${method} ${host} ${path}\n`).update(body).digest('base64url')
}
