/** Brings requests about a program to its home. */
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
/** Hops after which a node looks in the log itself rather than trust another node's view. */
const MAX_TRUSTED_HOPS = 3
const MAX_HOPS = 6
const MAX_HINTS = 20_000

/** `expired`: the program ended, or never was. `noTrace`: its home is gone and the log does not know the program. */
export type ProgramLoss = 'expired' | 'noTrace'

/** Decides whether a request runs here, elsewhere or nowhere. */
export interface IProgramRouting {
  /**
   * Calls `onHere` if this node is the program's home; otherwise forwards the request to the home, or calls `onLost`
   * if the log holds no trace of the program. Answers by itself when the home cannot be reached.
   */
  route (exchange: CallerExchange, programId: string, onHere: (program: LiveProgram) => void, onLost: (loss: ProgramLoss) => void): void
  /** Remembers where a program went. */
  recordNewOwner (programId: string, home: NodeRef): void
}
export const IProgramRouting = Symbol('IProgramRouting')

@injectable()
export class ProgramRouting implements IProgramRouting {
  private readonly _hints = new Map<string, NodeRef>()

  constructor (
    @inject(NodeIdentity) private readonly _identity: NodeIdentity,
    @inject(ICallers) private readonly _callers: ICallers,
    @inject(IMembership) private readonly _membership: IMembership,
    @inject(IProgramTable) private readonly _programs: IProgramTable,
    @inject(ITakeover) private readonly _takeover: ITakeover
  ) {
    _membership.onDidSuspect(node => _callers.abandonForwards(node))
  }

  route (exchange: CallerExchange, programId: string, onHere: (program: LiveProgram) => void, onLost: (loss: ProgramLoss) => void): void {
    const program = this._programs.get(programId)
    if (program !== undefined) {
      onHere(program)
      return
    }
    const origin = parseProgramId(programId)
    if (origin === undefined) {
      onLost('expired')
      return
    }
    const hint = this._hints.get(programId)
    if (hint !== undefined && this._membership.isAlive(hint)) this._forward(exchange, hint)
    else this._routeByOrigin(exchange, programId, origin, onHere, onLost)
  }

  recordNewOwner (programId: string, home: NodeRef): void {
    this._hints.set(programId, home)
    if (this._hints.size > MAX_HINTS) this._hints.delete(this._hints.keys().next().value as string)
  }

  private _routeByOrigin (exchange: CallerExchange, programId: string, origin: ProgramOrigin, onHere: (program: LiveProgram) => void, onLost: (loss: ProgramLoss) => void): void {
    const address = this._membership.findNode(origin.node)?.address ?? ''
    const home: NodeRef = { node: origin.node, incarnation: origin.incarnation, address }
    const isOwn = origin.node === this._identity.node && origin.incarnation === this._identity.incarnation
    if (isOwn) {
      // The journal knows where a program went whose new home is not reachable now.
      if (this._hints.has(programId)) this._locate(exchange, programId, home, onHere, onLost)
      else onLost('expired')
      return
    }
    const isTrusted = exchange.hops < MAX_TRUSTED_HOPS
    if (isTrusted && this._membership.isAlive(home)) {
      this._forward(exchange, home)
      return
    }
    const adopter = this._takeover.resolveNewOwner(journalOf(origin))
    const peer = adopter === undefined ? undefined : this._membership.findNode(adopter)
    const isElsewhere = peer !== undefined && peer.node !== this._identity.node
    if (isTrusted && isElsewhere) {
      // The old home may be heard again before it knows that it has lost the program.
      const adopted = { node: peer.node, incarnation: peer.incarnation ?? '', address: peer.address }
      if (this._membership.isTakeoverDue(home)) this.recordNewOwner(programId, adopted)
      this._forward(exchange, adopted)
    } else this._locate(exchange, programId, home, onHere, onLost)
  }

  private _locate (exchange: CallerExchange, programId: string, home: NodeRef, onHere: (program: LiveProgram) => void, onLost: (loss: ProgramLoss) => void): void {
    this._takeover.locate(programId, home, location => {
      const program = this._programs.get(programId)
      if (program !== undefined) {
        onHere(program)
        return
      }
      if (location.type === 'at' && location.home.node !== this._identity.node && exchange.hops < MAX_HOPS) {
        this.recordNewOwner(programId, location.home)
        this._forward(exchange, location.home)
      } else if (location.type === 'lost') {
        onLost('noTrace')
      } else {
        this._refuse(exchange, 'the program is moving to a new home')
      }
    })
  }

  private _forward (exchange: CallerExchange, home: NodeRef): void {
    if (exchange.hops >= MAX_HOPS) {
      this._refuse(exchange, 'no node could be found that holds the program')
      return
    }
    this._callers.forward(exchange, home, ({ wasSent }) => {
      this._forgetHint(programIdOf(exchange) ?? '')
      this._membership.markUnreachable(home.node)
      if (wasSent) this._answerUnknown(exchange, `the connection to ${home.node} broke`)
      else this._refuse(exchange, `node ${home.node} could not be reached`)
    })
  }

  /** Where own programs went is kept: without it they would count as ended. */
  private _forgetHint (programId: string): void {
    const origin = parseProgramId(programId)
    const isOwn = origin?.node === this._identity.node && origin.incarnation === this._identity.incarnation
    if (!isOwn) this._hints.delete(programId)
  }

  private _refuse (exchange: CallerExchange, detail: string): void {
    this._callers.reply(exchange.requestId, toRefusal(exchange, ReasonValue.OwnerUnreachable, detail, RETRY_AFTER_MS))
  }

  private _answerUnknown (exchange: CallerExchange, detail: string): void {
    this._callers.reply(exchange.requestId, toUnknown(exchange, ReasonValue.OwnerUnreachable, detail, RETRY_AFTER_MS))
  }
}

function programIdOf (exchange: CallerExchange): string | undefined {
  return 'programId' in exchange.request ? exchange.request.programId : undefined
}

/**
 * A refusal by a node that is not the program's home. It says "not run" only for a request that was never sent before:
 * an earlier copy may have run elsewhere.
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
