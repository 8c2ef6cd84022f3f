/** What nodes and the owner of an account tell each other about its quota. Arrays in place of objects, because these are the most frequent messages. */

/**
 * Requests credits for requests of an account. A credit lets one request be sent to a worker.
 *
 * Programs are named by a hash of their id that is not 0. `returns` and `counts` concern earlier credits.
 */
export type QuotaTake = [
  account: string,
  /** Requests that wait, of programs that the node has seen recently: their programs. */
  known: number[],
  /** Requests that wait, of programs that the node has not seen recently; 0 for a request without a program. */
  begins: number[],
  /** Credits that the node expects to need next, in addition. */
  prefetch: number,
  /** Requests that used credits of an earlier prefetch: pairs of program, 0 for none, and number of requests; below zero for requests that were not sent after all. */
  counts: number[],
  /** Credits that were not used: pairs of number and stamp of their grant. */
  returns: number[]
]

/** The owner's decision on a `QuotaTake`: for each request 0, or the time in ms after which to try again. */
export type QuotaGrant = [
  known: number[],
  begins: number[],
  /** Credits granted in addition. */
  prefetch: number,
  /** Time of the grant on the owner's clock, to be named when credits are returned. */
  stampMs: number,
  /** Programs among the known ones that must ask for each request. */
  restricted: number[]
]

/** The state of one account, for the next owner. `programs` holds triples of program, requests and time in ms since the last one. */
export type QuotaBucketState = [account: string, tokens: number, startTokens: number, meanRequests: number, programs: number[]]

/** The buckets of a partition, for its next owner. Accounts that are missing had an empty bucket `emptySinceAgoMs` ago, which may lie ahead. */
export type QuotaHandover = [emptySinceAgoMs: number, buckets: QuotaBucketState[]]
