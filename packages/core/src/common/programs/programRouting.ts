/** Routes requests about a program to its owner. */
import { inject, injectable } from 'tsyringe'
import { ICallers, type CallerExchange } from '../kernel/callerPort.js'
import { type NotRun, type Reason, Reason as ReasonValue, type StepRequest, type Unknown } from '../kernel/callerMessages.js'
import { NodeIdentity, type NodeRef } from '../kernel/node.js'
import { journalOf } from '../journal/journalRecords.js'
import { IMembership } from '../membership/membership.js'
import type { LiveProgram } from './liveProgram.js'
import { parseProgramId, type ProgramOrigin } from './programState.js'
import { IProgramTable } from './programTable.js'
import { ITakeover } from './takeover.js'

const RETRY_AFTER_MS = 500
/** From this many hops on a program is located through the log, because nodes may see the cluster differently; hints are still followed. */
const MAX_TRUSTED_HOPS = 3
const MAX_HOPS = 6
const MAX_OWNER_HINTS = 20_000

/**
 * Why no owner is found. `expired`: the program ended or never existed. `noTrace`: its owner is unavailable and the log holds no
 * record of it.
 */
export type NotFoundCause = 'expired' | 'noTrace'

/** Decides whether a request is handled by this node, by another one or by none. */
export interface IProgramRouting {
  /**
   * Calls `onLocal` if this node owns the program, maybe after it took the program over; otherwise forwards the request to the
   * owner. Calls `onNotFound` if the id is invalid, if this node opened the program and does not hold it any more, or if the log
   * holds no record of it. Replies to the caller itself when the owner cannot be reached or determined.
   */
  route (exchange: CallerExchange, programId: string, onLocal: (program: LiveProgram) => void, onNotFound: (cause: NotFoundCause) => void): void
  /** Stores the node that now owns a program, as a hint for later requests; the oldest hints are dropped beyond a limit. */
  recordNewOwner (programId: string, owner: NodeRef): void
}
export const IProgramRouting = Symbol('IProgramRouting')

@injectable()
export class ProgramRouting implements IProgramRouting {
  private readonly _ownerHints = new Map<string, NodeRef>()

  constructor (
    @inject(NodeIdentity) private readonly _identity: NodeIdentity,
    @inject(ICallers) private readonly _callers: ICallers,
    @inject(IMembership) private readonly _membership: IMembership,
    @inject(IProgramTable) private readonly _programs: IProgramTable,
    @inject(ITakeover) private readonly _takeover: ITakeover
  ) {
    _membership.onDidSuspect(node => _callers.abandonForwards(node))
  }

  route (exchange: CallerExchange, programId: string, onLocal: (program: LiveProgram) => void, onNotFound: (cause: NotFoundCause) => void): void {
    const program = this._programs.get(programId)
    if (program !== undefined) {
      onLocal(program)
      return
    }
    const origin = parseProgramId(programId)
    if (origin === undefined) {
      onNotFound('expired')
      return
    }
    const hint = this._ownerHints.get(programId)
    if (hint !== undefined && this._membership.isAlive(hint)) this._forward(exchange, hint)
    else this._routeByOrigin(exchange, programId, origin, onLocal, onNotFound)
  }

  recordNewOwner (programId: string, owner: NodeRef): void {
    this._ownerHints.set(programId, owner)
    if (this._ownerHints.size > MAX_OWNER_HINTS) this._ownerHints.delete(this._ownerHints.keys().next().value as string)
  }

  private _routeByOrigin (exchange: CallerExchange, programId: string, origin: ProgramOrigin, onLocal: (program: LiveProgram) => void, onNotFound: (cause: NotFoundCause) => void): void {
    const address = this._membership.findNode(origin.node)?.address ?? ''
    const originRef: NodeRef = { node: origin.node, incarnation: origin.incarnation, address }
    const wasOpenedHere = origin.node === this._identity.node && origin.incarnation === this._identity.incarnation
    if (wasOpenedHere) {
      // The node of the hint is not alive: the journal names the current owner.
      if (this._ownerHints.has(programId)) this._locate(exchange, programId, originRef, onLocal, onNotFound)
      else onNotFound('expired')
      return
    }
    const mayTrustPeers = exchange.hops < MAX_TRUSTED_HOPS
    if (mayTrustPeers && this._membership.isAlive(originRef)) {
      this._forward(exchange, originRef)
      return
    }
    const newOwnerId = this._takeover.resolveNewOwner(journalOf(origin))
    const peer = newOwnerId === undefined ? undefined : this._membership.findNode(newOwnerId)
    const isOtherNode = peer !== undefined && peer.node !== this._identity.node
    if (mayTrustPeers && isOtherNode) {
      // The old owner may respond again before it learns that it no longer owns the program: remember the new one.
      const newOwner = { node: peer.node, incarnation: peer.incarnation ?? '', address: peer.address }
      if (this._membership.isTakeoverDue(originRef)) this.recordNewOwner(programId, newOwner)
      this._forward(exchange, newOwner)
    } else this._locate(exchange, programId, originRef, onLocal, onNotFound)
  }

  private _locate (exchange: CallerExchange, programId: string, originRef: NodeRef, onLocal: (program: LiveProgram) => void, onNotFound: (cause: NotFoundCause) => void): void {
    this._takeover.locate(programId, originRef, location => {
      const program = this._programs.get(programId)
      if (program !== undefined) {
        onLocal(program)
        return
      }
      if (location.type === 'at' && location.owner.node !== this._identity.node && exchange.hops < MAX_HOPS) {
        this.recordNewOwner(programId, location.owner)
        this._forward(exchange, location.owner)
      } else if (location.type === 'lost') {
        onNotFound('noTrace')
      } else {
        this._refuse(exchange, 'the program is moving to a new owner')
      }
    })
  }

  private _forward (exchange: CallerExchange, owner: NodeRef): void {
    if (exchange.hops >= MAX_HOPS) {
      this._refuse(exchange, 'no node could be found that holds the program')
      return
    }
    this._callers.forward(exchange, owner, ({ wasSent }) => {
      this._forgetHint(programIdOf(exchange) ?? '')
      this._membership.probeNow(owner.node)
      if (wasSent) this._replyUnknown(exchange, `the connection to ${owner.node} broke`)
      else this._refuse(exchange, `node ${owner.node} could not be reached`)
    })
  }

  /** Keeps the hints of programs that this node opened: without a hint they would count as ended. */
  private _forgetHint (programId: string): void {
    const origin = parseProgramId(programId)
    const wasOpenedHere = origin?.node === this._identity.node && origin.incarnation === this._identity.incarnation
    if (!wasOpenedHere) this._ownerHints.delete(programId)
  }

  private _refuse (exchange: CallerExchange, detail: string): void {
    this._callers.reply(exchange.requestId, toRefusal(exchange, ReasonValue.OwnerUnreachable, detail, RETRY_AFTER_MS))
  }

  private _replyUnknown (exchange: CallerExchange, detail: string): void {
    this._callers.reply(exchange.requestId, toUnknown(exchange, ReasonValue.OwnerUnreachable, detail, RETRY_AFTER_MS))
  }
}

function programIdOf (exchange: CallerExchange): string | undefined {
  return 'programId' in exchange.request ? exchange.request.programId : undefined
}

/**
 * A refusal by a node that does not own the program. It is "not run" unless the request is a step that was sent before,
 * because the earlier copy may have run at another node.
 */
export function toRefusal (exchange: CallerExchange, reason: Reason, detail: string, retryAfterMs: number): NotRun | Unknown {
  const { request } = exchange
  const mayHaveRun = request.type === 'step' && request.isResend
  if (mayHaveRun) return toUnknown(exchange, reason, detail, retryAfterMs)
  return { type: 'notRun', reason, detail, retryAfterMs }
}

function toUnknown (exchange: CallerExchange, reason: Reason, detail: string, retryAfterMs: number): Unknown {
  const step = exchange.request.type === 'step' ? (exchange.request as StepRequest).step : 0
  return { type: 'unknown', reason, detail, programId: programIdOf(exchange) ?? '', step, retryAfterMs }
}
