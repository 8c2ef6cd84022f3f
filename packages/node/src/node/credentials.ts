/** Checks bearer keys and shared secrets in constant time, against timing attacks. */
import { createHash, timingSafeEqual } from 'node:crypto'

/** The key of one customer or operator, stored as a hash. */
export interface Credential {
  name: string
  /** 64 hexadecimal digits. */
  keySha256: string
}

const BEARER_PREFIX = 'Bearer '

/**
 * The name of the customer or operator whose bearer key is in the `Authorization` header; undefined without a valid key.
 * Compares every credential even after a match, so that the duration does not depend on which one matches.
 */
export function resolvePrincipal (credentials: readonly Credential[], authorization: string | undefined): string | undefined {
  if (authorization === undefined || !authorization.startsWith(BEARER_PREFIX)) return undefined
  const digest = sha256(authorization.slice(BEARER_PREFIX.length))
  let principal: string | undefined
  for (const { name, keySha256 } of credentials) {
    if (timingSafeEqual(digest, Buffer.from(keySha256, 'hex'))) principal = name
  }
  return principal
}

/** Compares two secrets of any length in constant time. */
export function isSameSecret (left: string, right: string): boolean {
  return timingSafeEqual(sha256(left), sha256(right))
}

function sha256 (text: string): Buffer {
  return createHash('sha256').update(text).digest()
}
