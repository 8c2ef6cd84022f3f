/** The home's side: gets slots from the leads of workers, here or at other nodes. */
import { inject, injectable } from 'tsyringe'
import { IClock } from '../kernel/clock.js'
import { IEffects } from '../kernel/effectQueue.js'
import { NodeIdentity } from '../kernel/node.js'
import { ITimers } from '../kernel/timers.js'
import type { Rank } from '../configuration/document.js'
import { IMembership } from '../membership/membership.js'
import type { SlotReport, SlotRequest } from '../peers/peerMessages.js'
import { IPeers } from '../peers/peers.js'
import { IWorkerCoordinator, type SlotAnswer } from './workerCoordinator.js'
import { ICoordinatorTable } from './coordinatorTable.js'

/** A waiting step is announced again after this time, in case a message was lost. */
const REFRESH_MS = 2_000
const LEAD_RETRY_MS = 100

export interface SlotQuery {
  worker: string
  programId: string
  customer: string
  kind: string
  rank: Rank
  isFirstStep: boolean
  dueAtMs: number
  deadlineMs: number
  attainedSteps: number
  promptTokens: number
  isSuspect: boolean
}

export type SlotOutcome = { type: 'granted' } | { type: 'refused', reason: 'workerGone' | 'deadline' | 'overloaded', retryAfterMs: number }

/** A place in a worker's queue and then on the worker. */
export interface Slot {
  /** Gives the slot back, or leaves the queue. Called once. */
  release (report: SlotReport | undefined): void
}

/** Acquires slots. */
export interface ISlotRequester {
  /** Queues at the worker's lead and follows the lead if it moves; `onOutcome` is called once unless released before. */
  acquire (query: SlotQuery, onOutcome: (outcome: SlotOutcome) => void): Slot
  readonly heldCount: number
}
export const ISlotRequester = Symbol('ISlots')

interface Ticket {
  request: SlotRequest
  lead: string | undefined
  isGranted: boolean
  isOver: boolean
  onOutcome: (outcome: SlotOutcome) => void
}

@injectable()
export class SlotRequester implements ISlotRequester {
  private readonly _tickets = new Map<string, Ticket>()

  constructor (
    @inject(NodeIdentity) private readonly _identity: NodeIdentity,
    @inject(IEffects) private readonly _effects: IEffects,
    @inject(IClock) private readonly _clock: IClock,
    @inject(ITimers) private readonly _timers: ITimers,
    @inject(IMembership) private readonly _membership: IMembership,
    @inject(ICoordinatorTable) private readonly _leadTable: ICoordinatorTable,
    @inject(IWorkerCoordinator) private readonly _leads: IWorkerCoordinator,
    @inject(IPeers) private readonly _peers: IPeers
  ) {}

  start (): void {
    this._membership.onDidChange(() => this._followLeads())
  }

  get heldCount (): number {
    return this._tickets.size
  }

  acquire (query: SlotQuery, onOutcome: (outcome: SlotOutcome) => void): Slot {
    const ticketId = `${this._identity.node}-${this._identity.incarnation}-${this._effects.nextId()}`
    const request: SlotRequest = { type: 'slotRequest', ticket: ticketId, isHeld: false, ...query }
    const ticket: Ticket = { request, lead: undefined, isGranted: false, isOver: false, onOutcome }
    this._tickets.set(ticketId, ticket)
    this._ask(ticket)
    return { release: report => this._release(ticket, report) }
  }

  private _ask (ticket: Ticket): void {
    if (ticket.isOver) return
    const lead = this._leadTable.coordinatorOf(ticket.request.worker)
    ticket.lead = lead?.node
    if (lead === undefined) {
      this._handleAnswer(ticket, { type: 'refused', reason: 'workerGone', retryAfterMs: 0 })
    } else if (lead.node === this._identity.node) {
      this._leads.requestSlot(ticket.request, this._identity.node, answer => this._handleAnswer(ticket, answer))
    } else {
      this._peers.request(lead, ticket.request, REFRESH_MS, answer => {
        if (answer.type === 'failed') this._askLater(ticket, answer.isUnreachable ? LEAD_RETRY_MS : 0)
        else if (answer.body.type === 'slotGrant') this._handleAnswer(ticket, { type: 'granted' })
        else if (answer.body.type === 'slotRefusal') this._handleAnswer(ticket, { type: 'refused', reason: answer.body.reason, retryAfterMs: answer.body.retryAfterMs })
      })
    }
  }

  private _askLater (ticket: Ticket, delayMs: number): void {
    if (ticket.isOver || ticket.isGranted) return
    if (this._clock.nowMs() >= ticket.request.deadlineMs) {
      this._handleAnswer(ticket, { type: 'refused', reason: 'deadline', retryAfterMs: 0 })
      return
    }
    this._timers.after(delayMs, () => {
      if (!ticket.isGranted) this._ask(ticket)
    })
  }

  private _handleAnswer (ticket: Ticket, answer: SlotAnswer): void {
    if (ticket.isOver || ticket.isGranted) return
    if (answer.type === 'granted') {
      ticket.isGranted = true
      ticket.onOutcome(answer)
      return
    }
    if (answer.reason === 'notLead') {
      this._askLater(ticket, LEAD_RETRY_MS)
      return
    }
    this._end(ticket)
    ticket.onOutcome({ type: 'refused', reason: answer.reason, retryAfterMs: answer.retryAfterMs })
  }

  private _release (ticket: Ticket, report: SlotReport | undefined): void {
    if (ticket.isOver) return
    this._end(ticket)
    const { worker, ticket: ticketId } = ticket.request
    if (ticket.lead === this._identity.node) {
      this._leads.releaseSlot(worker, ticketId, report)
      return
    }
    const lead = this._membership.findNode(ticket.lead ?? '')
    if (lead !== undefined) this._peers.send(lead, { type: 'slotRelease', worker, ticket: ticketId, report })
  }

  private _end (ticket: Ticket): void {
    ticket.isOver = true
    this._tickets.delete(ticket.request.ticket)
  }

  /** After a change of membership: tells new leads of the slots in use, and queues waiting steps there. */
  private _followLeads (): void {
    for (const ticket of [...this._tickets.values()]) {
      const lead = this._leadTable.coordinatorOf(ticket.request.worker)
      if (lead?.node === ticket.lead) continue
      if (ticket.isGranted) this._announceHeld(ticket, lead?.node)
      else this._ask(ticket)
    }
  }

  private _announceHeld (ticket: Ticket, leadName: string | undefined): void {
    ticket.lead = leadName
    const lead = this._membership.findNode(leadName ?? '')
    if (lead === undefined) return
    const request = { ...ticket.request, isHeld: true }
    if (lead.node === this._identity.node) this._leads.requestSlot(request, this._identity.node, () => {})
    else this._peers.send(lead, request)
  }
}
