/** Tells what an undici error says about the request. */

/** Errors that undici reports before any byte of the request was written. */
const UNTOUCHED_CODES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'ENOTFOUND', 'EHOSTUNREACH', 'ENETUNREACH', 'EAI_AGAIN', 'EADDRNOTAVAIL'])
const TIMEOUT_CODES = new Set(['UND_ERR_HEADERS_TIMEOUT', 'UND_ERR_BODY_TIMEOUT', 'UND_ERR_ABORTED'])

export interface ErrorFacts {
  /** True only when no byte of the request can have reached the other side. */
  isUntouched: boolean
  /** True when the other side closed or reset the connection. */
  isConnectionLost: boolean
  detail: string
}

/** Classifies an error that undici has thrown; anything unknown counts as sent. */
export function describeError (error: unknown): ErrorFacts {
  const { code, message, name } = error as { code?: string, message?: string, name?: string }
  const codes = [code, ...innerCodes(error)].filter(value => value !== undefined)
  const isUntouched = codes.some(value => UNTOUCHED_CODES.has(value))
  const isTimeout = name === 'TimeoutError' || name === 'AbortError' || codes.some(value => TIMEOUT_CODES.has(value))
  return { isUntouched, isConnectionLost: !isUntouched && !isTimeout, detail: `${codes.at(0) ?? name ?? 'error'}: ${message ?? ''}` }
}

function innerCodes (error: unknown): string[] {
  const { errors, cause } = error as { errors?: Array<{ code?: string }>, cause?: { code?: string } }
  return [...(errors ?? []).flatMap(inner => inner.code ?? []), ...(cause?.code === undefined ? [] : [cause.code])]
}
