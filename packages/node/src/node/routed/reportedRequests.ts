/** The requests that peers have at workers, as they report them. */
import { hash32 } from '@trefoilshunt/core'
import type { RequestReport } from '../../common/routed/routedPeerMessages.js'
import { steadyNowMs } from '../steadyClock.js'

/** The requests of a peer that is lost are kept for this long, as long as the end of a worker counts. */
const LOST_SENDER_MS = 60_000
/** Of one peer; its oldest ones are forgotten when there are more. */
const MAX_REQUESTS = 5_000

/** A request that may be at a worker. */
export interface RequestAtWorker {
  /** The id of the request within its sender's reports. */
  id: number
  fingerprint: string
  workerHash: number
  sentAtMs: number
}

interface Sender {
  node: string
  requests: Map<number, RequestAtWorker>
  lastReportAtMs: number
}

/**
 * @example
 * requests.apply(report)
 * requests.listAt(lifetime) // what peers may have had at the worker when it ended
 */
export class ReportedRequests {
  /** By node and incarnation: what a node had open remains when it starts again. */
  private readonly _senders = new Map<string, Sender>()

  get size (): number {
    return [...this._senders.values()].reduce((total, { requests }) => total + requests.size, 0)
  }

  apply ({ from, incarnation, isReset, sent, ended }: RequestReport): void {
    const nowMs = steadyNowMs()
    const key = senderKeyOf({ from, incarnation })
    const sender = this._senders.get(key) ?? { node: from, requests: new Map<number, RequestAtWorker>(), lastReportAtMs: nowMs }
    this._senders.set(key, sender)
    sender.lastReportAtMs = nowMs
    if (isReset) sender.requests.clear()
    for (const [id, fingerprint, workerHash, agoMs] of sent) {
      sender.requests.set(id, { id, fingerprint: Buffer.from(fingerprint).toString('base64url'), workerHash, sentAtMs: nowMs - agoMs })
      if (sender.requests.size > MAX_REQUESTS) sender.requests.delete(sender.requests.keys().next().value as number)
    }
    for (const id of ended) sender.requests.delete(id)
  }

  /** Requests that may be at a worker, with the peers that sent them. */
  listAt (lifetime: string): Array<{ sender: string, request: RequestAtWorker }> {
    const workerHash = hash32(lifetime)
    return [...this._senders].flatMap(([sender, { requests }]) => [...requests.values()].filter(request => request.workerHash === workerHash).map(request => ({ sender, request })))
  }

  /** Removes a request; false if its sender has ended it. */
  take (sender: string, { id }: RequestAtWorker): boolean {
    return this._senders.get(sender)?.requests.delete(id) ?? false
  }

  /** Forgets peers that have been lost for a while; `isAlive` tells whether a peer lives under the same incarnation. */
  removeInactive (isAlive: (senderKey: string) => boolean): void {
    const nowMs = steadyNowMs()
    for (const [key, { lastReportAtMs, requests }] of this._senders) {
      if (nowMs - lastReportAtMs < LOST_SENDER_MS) continue
      if (requests.size === 0 || !isAlive(key)) this._senders.delete(key)
    }
  }
}

/** Identifies one life of a node. */
export function senderKeyOf ({ from, incarnation }: Pick<RequestReport, 'from' | 'incarnation'>): string {
  return `${from}/${incarnation}`
}
