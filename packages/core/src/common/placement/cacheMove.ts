/** Cost model for moving a program's key-value cache to another worker or computing its prompt again there. */

/** Cost of computing one prompt token that is not cached. */
export const PREFILL_MS_PER_TOKEN = 0.25
/** Cost of moving the cache of one token between engines. */
const TRANSFER_MS_PER_TOKEN = 0.02
/** Fixed cost of a move. */
const TRANSFER_BASE_MS = 20

/** Time that computing an uncached prompt takes, in milliseconds. */
export function prefillMs (tokens: number): number {
  return tokens * PREFILL_MS_PER_TOKEN
}

/** Time that moving the cache of a prompt takes, in milliseconds. */
export function transferMs (tokens: number): number {
  return TRANSFER_BASE_MS + tokens * TRANSFER_MS_PER_TOKEN
}

/**
 * True when moving the cache of a prompt of this many tokens is cheaper than computing the prompt again.
 *
 * @example
 * isMoveCheaper(50) // false
 * isMoveCheaper(1_000) // true
 */
export function isMoveCheaper (tokens: number): boolean {
  return transferMs(tokens) < prefillMs(tokens)
}
