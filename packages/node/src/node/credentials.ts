/** Checks bearer keys in constant time. */
import { createHash, timingSafeEqual } from 'node:crypto'

export interface Credential {
  name: string
  keySha256: string
}

const BEARER_PREFIX = 'Bearer '

/** The owner of the key in an `Authorization` header, or undefined. Every credential is compared, whichever matches. */
export function resolveOwner (credentials: readonly Credential[], authorization: string | undefined): string | undefined {
  if (authorization === undefined || !authorization.startsWith(BEARER_PREFIX)) return undefined
  const digest = sha256(authorization.slice(BEARER_PREFIX.length))
  let owner: string | undefined
  for (const { name, keySha256 } of credentials) {
    if (timingSafeEqual(digest, Buffer.from(keySha256, 'hex'))) owner = name
  }
  return owner
}

/** Compares two secrets in constant time, whatever their lengths. */
export function isSameSecret (left: string, right: string): boolean {
  return timingSafeEqual(sha256(left), sha256(right))
}

function sha256 (text: string): Buffer {
  return createHash('sha256').update(text).digest()
}
