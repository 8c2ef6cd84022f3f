/** Classifies errors of undici by what may have happened to the request. */

/** Codes of errors that occur before any byte of the request is written. */
const UNSENT_CODES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'ENOTFOUND', 'EHOSTUNREACH', 'ENETUNREACH', 'EAI_AGAIN', 'EADDRNOTAVAIL'])
/** Codes of errors with which this node closed the connection itself. */
const CLOSED_HERE_CODES = new Set(['UND_ERR_HEADERS_TIMEOUT', 'UND_ERR_BODY_TIMEOUT', 'UND_ERR_ABORTED', 'LIMIT_EXCEEDED', 'UND_ERR_HEADERS_OVERFLOW'])

/** What an error shows about the request. */
export interface ErrorClassification {
  /** True only if no byte of the request can have reached the server. */
  isUntouched: boolean
  /** True if the connection broke after it was established; every unknown error counts as this, but not one with which this node closed the connection. */
  isConnectionLost: boolean
  detail: string
}

/** Classifies an error thrown by undici. After an error that is not known here, the request may have been sent. */
export function classifyError (error: unknown): ErrorClassification {
  const { code, message, name } = error as { code?: string, message?: string, name?: string }
  const codes = [code, ...nestedErrorCodes(error)].filter(value => value !== undefined)
  const isUntouched = codes.some(value => UNSENT_CODES.has(value))
  const isClosedHere = name === 'TimeoutError' || name === 'AbortError' || codes.some(value => CLOSED_HERE_CODES.has(value))
  return { isUntouched, isConnectionLost: !isUntouched && !isClosedHere, detail: `${codes.at(0) ?? name ?? 'error'}: ${message ?? ''}` }
}

/** The codes of the errors in an `AggregateError` and of the cause. */
function nestedErrorCodes (error: unknown): string[] {
  const { errors, cause } = error as { errors?: Array<{ code?: string }>, cause?: { code?: string } }
  return [...(errors ?? []).flatMap(inner => inner.code ?? []), ...(cause?.code === undefined ? [] : [cause.code])]
}
