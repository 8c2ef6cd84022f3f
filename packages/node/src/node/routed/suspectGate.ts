/** Asks for turns of suspect requests at the node that grants them, and grants those of which this node is asked. */
import { type IDisposable, type LogFields, selectOwners, SuspectTurnEnd, SuspectTurns } from '@trefoilshunt/core'
import type { PeerRequest } from '../../common/routed/routedPeerMessages.js'
import { steadyNowMs } from '../steadyClock.js'
import type { NodeDirectory } from './nodeDirectory.js'
import type { PeerMesh, PeerRequester, PeerResponder } from './peerMesh.js'

/** After this time without a reply, this node grants the turn itself. */
const REPLY_TIMEOUT_MS = 150

export type SuspectTurnOutcome =
  /** `end` must be called once. */
  | { type: 'begun', end: (end: SuspectTurnEnd) => void }
  /** The request is at a worker. */
  | { type: 'open' }
  /** It was at a worker a moment ago, without an answer. */
  | { type: 'paused', waitMs: number }

export interface SuspectGateOptions {
  node: string
  directory: NodeDirectory
  mesh: PeerMesh
  write: (event: string, fields: LogFields) => void
}

/**
 * A request's turns are granted by one node, chosen by rendezvous hashing over the live nodes.
 *
 * @example
 * const turn = await gate.begin(fingerprint, { requestId, durationMs: 1_000 })
 * if (turn.type === 'begun') turn.end(SuspectTurnEnd.Served)
 */
export class SuspectGate {
  private readonly _turns = new SuspectTurns()
  /** Listeners for the loss of the nodes that hold turns, by turn. */
  private readonly _holders = new Map<string, IDisposable>()
  private _lastTurn = 0

  constructor (private readonly _options: SuspectGateOptions) {}

  /** Number of requests with an open turn here, or one that ended a moment ago. */
  get size (): number {
    return this._turns.size
  }

  /** Requests a turn that lasts `durationMs` at most. */
  async begin (fingerprint: string, { requestId, durationMs }: { requestId: string, durationMs: number }): Promise<SuspectTurnOutcome> {
    const { node, mesh, write } = this._options
    const turn = { fingerprint, turnId: `${node}/${requestId}/${++this._lastTurn}` }
    const guard = this._guardOf(fingerprint)
    if (guard === node) return this._beginHere(turn, durationMs)
    const reply = await mesh.requestOnce(guard, { type: 'beginSuspect', ...turn, durationMs: Math.ceil(durationMs) }, REPLY_TIMEOUT_MS)
    const end = (turnEnd: SuspectTurnEnd): void => mesh.notify(guard, { type: 'endSuspect', ...turn, end: turnEnd })
    if (reply?.type === 'suspectTurn') return reply.turn.type === 'begun' ? { type: 'begun', end } : reply.turn
    write('suspectGuardSilent', { requestId, fingerprint, guard })
    // The request for a turn may still arrive.
    end(SuspectTurnEnd.NotHarmed)
    return this._beginHere(turn, durationMs)
  }

  /** Handles a request of a peer; false if it is another kind of request. */
  handle (request: PeerRequest, respond: PeerResponder, requester: PeerRequester): boolean {
    if (request.type === 'beginSuspect') {
      const { fingerprint, turnId, durationMs } = request
      const turn = this._turns.begin({ fingerprint, turnId }, { durationMs, nowMs: steadyNowMs() })
      if (turn.type === 'begun') {
        this._holders.get(turnId)?.dispose()
        this._holders.set(turnId, requester.onDidClose(() => this._end({ fingerprint, turnId }, SuspectTurnEnd.Unanswered)))
      }
      respond({ type: 'suspectTurn', turn }, true)
      return true
    }
    if (request.type !== 'endSuspect') return false
    this._end(request, request.end)
    return true
  }

  private _guardOf (fingerprint: string): string {
    const peers = this._options.directory.alive.filter(({ isDraining, takesRequestReports }) => !isDraining && takesRequestReports === true)
    return selectOwners(fingerprint, [this._options.node, ...peers.map(({ from }) => from.node)], 1)[0]
  }

  private _beginHere (turn: { fingerprint: string, turnId: string }, durationMs: number): SuspectTurnOutcome {
    const reply = this._turns.begin(turn, { durationMs, nowMs: steadyNowMs() })
    return reply.type === 'begun' ? { type: 'begun', end: end => this._end(turn, end) } : reply
  }

  private _end ({ fingerprint, turnId }: { fingerprint: string, turnId: string }, end: SuspectTurnEnd): void {
    this._holders.get(turnId)?.dispose()
    this._holders.delete(turnId)
    this._turns.end({ fingerprint, turnId }, { end, nowMs: steadyNowMs() })
  }
}
