/** Whether to move a program's key-value cache to another worker or to compute the prompt again there. */

/** Cost of computing one prompt token that is not cached. */
export const PREFILL_MS_PER_TOKEN = 0.25
/** Cost of moving one token's cache from engine to engine. */
const TRANSFER_MS_PER_TOKEN = 0.02
/** Cost of a move whatever its size. */
const TRANSFER_BASE_MS = 20

/** Time that computing a prompt takes. */
export function prefillMs (tokens: number): number {
  return tokens * PREFILL_MS_PER_TOKEN
}

/** Time that moving the cache of a prompt takes. */
export function transferMs (tokens: number): number {
  return TRANSFER_BASE_MS + tokens * TRANSFER_MS_PER_TOKEN
}

/**
 * True when moving the cache is cheaper.
 *
 * @example
 * isMoveCheaper(50) // false
 * isMoveCheaper(1_000) // true
 */
export function isMoveCheaper (tokens: number): boolean {
  return transferMs(tokens) < prefillMs(tokens)
}
