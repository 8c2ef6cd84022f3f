/** Requests slots for the steps of this node's programs from the workers' coordinators, here or at other nodes. */
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

/** A request without an answer is repeated after this time, in case a message was lost. */
const REQUEST_TIMEOUT_MS = 2_000
/** Delay before a request is repeated when the coordinator is unreachable or no longer coordinates the worker. */
const COORDINATOR_RETRY_MS = 100

/** A step that needs a slot; the fields have the meaning of those in `SlotRequest`. */
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

/** Result of a request; `retryAfterMs` is the time after which the caller may try again. */
export type SlotOutcome = { type: 'granted' } | { type: 'refused', reason: 'workerGone' | 'deadline' | 'overloaded', retryAfterMs: number }

/** A position in a worker's queue, and a slot of the worker once granted. */
export interface Slot {
  /** Releases the slot, or leaves the queue if it is not granted yet. Further calls have no effect. */
  release (report: SlotReport | undefined): void
}

/** Acquires slots of workers. */
export interface ISlotRequester {
  /**
   * Queues a step at the worker's coordinator, and again at the new one when the coordinator changes. `onOutcome` is called
   * once, possibly before this method returns, unless the slot is released before.
   */
  acquire (query: SlotQuery, onOutcome: (outcome: SlotOutcome) => void): Slot
  /** Number of steps that wait for a slot or hold one. */
  readonly openTicketCount: number
}
export const ISlotRequester = Symbol('ISlotRequester')

interface Ticket {
  request: SlotRequest
  /** Node to which the last request or announcement was addressed; undefined when the worker had no coordinator. */
  coordinatorNode: string | undefined
  isGranted: boolean
  /** True once the request was refused or the slot released. */
  isEnded: boolean
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
    @inject(ICoordinatorTable) private readonly _coordinators: ICoordinatorTable,
    @inject(IWorkerCoordinator) private readonly _workerCoordinator: IWorkerCoordinator,
    @inject(IPeers) private readonly _peers: IPeers
  ) {}

  start (): void {
    this._membership.onDidChange(() => this._followCoordinators())
  }

  get openTicketCount (): number {
    return this._tickets.size
  }

  acquire (query: SlotQuery, onOutcome: (outcome: SlotOutcome) => void): Slot {
    const ticketId = `${this._identity.node}-${this._identity.incarnation}-${this._effects.nextId()}`
    const request: SlotRequest = { type: 'slotRequest', ticket: ticketId, isHeld: false, ...query }
    const ticket: Ticket = { request, coordinatorNode: undefined, isGranted: false, isEnded: false, onOutcome }
    this._tickets.set(ticketId, ticket)
    this._requestSlot(ticket)
    return { release: report => this._release(ticket, report) }
  }

  private _requestSlot (ticket: Ticket): void {
    if (ticket.isEnded) return
    const coordinator = this._coordinators.coordinatorOf(ticket.request.worker)
    ticket.coordinatorNode = coordinator?.node
    if (coordinator === undefined) {
      this._handleAnswer(ticket, { type: 'refused', reason: 'workerGone', retryAfterMs: 0 })
    } else if (coordinator.node === this._identity.node) {
      this._workerCoordinator.requestSlot(ticket.request, this._identity.node, answer => this._handleAnswer(ticket, answer))
    } else {
      this._peers.request(coordinator, ticket.request, REQUEST_TIMEOUT_MS, answer => {
        if (answer.type === 'failed') this._requestLater(ticket, answer.isUnreachable ? COORDINATOR_RETRY_MS : 0)
        else if (answer.body.type === 'slotGrant') this._handleAnswer(ticket, { type: 'granted' })
        else if (answer.body.type === 'slotRefusal') this._handleAnswer(ticket, { type: 'refused', reason: answer.body.reason, retryAfterMs: answer.body.retryAfterMs })
      })
    }
  }

  /** Repeats a request after a delay, or refuses it when its deadline has passed. */
  private _requestLater (ticket: Ticket, delayMs: number): void {
    if (ticket.isEnded || ticket.isGranted) return
    if (this._clock.nowMs() >= ticket.request.deadlineMs) {
      this._handleAnswer(ticket, { type: 'refused', reason: 'deadline', retryAfterMs: 0 })
      return
    }
    this._timers.after(delayMs, () => {
      if (!ticket.isGranted) this._requestSlot(ticket)
    })
  }

  private _handleAnswer (ticket: Ticket, answer: SlotAnswer): void {
    if (ticket.isEnded || ticket.isGranted) return
    if (answer.type === 'granted') {
      ticket.isGranted = true
      ticket.onOutcome(answer)
      return
    }
    if (answer.reason === 'notLead') {
      this._requestLater(ticket, COORDINATOR_RETRY_MS)
      return
    }
    this._removeTicket(ticket)
    ticket.onOutcome({ type: 'refused', reason: answer.reason, retryAfterMs: answer.retryAfterMs })
  }

  private _release (ticket: Ticket, report: SlotReport | undefined): void {
    if (ticket.isEnded) return
    this._removeTicket(ticket)
    const { worker, ticket: ticketId } = ticket.request
    if (ticket.coordinatorNode === this._identity.node) {
      this._workerCoordinator.releaseSlot(worker, ticketId, report)
      return
    }
    const coordinator = this._membership.findNode(ticket.coordinatorNode ?? '')
    if (coordinator !== undefined) this._peers.send(coordinator, { type: 'slotRelease', worker, ticket: ticketId, report })
  }

  private _removeTicket (ticket: Ticket): void {
    ticket.isEnded = true
    this._tickets.delete(ticket.request.ticket)
  }

  /** After a change of membership, announces granted slots to new coordinators and requests slots there for waiting steps. */
  private _followCoordinators (): void {
    for (const ticket of [...this._tickets.values()]) {
      const coordinator = this._coordinators.coordinatorOf(ticket.request.worker)
      if (coordinator?.node === ticket.coordinatorNode) continue
      if (ticket.isGranted) this._announceHeldSlot(ticket, coordinator?.node)
      else this._requestSlot(ticket)
    }
  }

  private _announceHeldSlot (ticket: Ticket, coordinatorNode: string | undefined): void {
    ticket.coordinatorNode = coordinatorNode
    const coordinator = this._membership.findNode(coordinatorNode ?? '')
    if (coordinator === undefined) return
    const request = { ...ticket.request, isHeld: true }
    if (coordinator.node === this._identity.node) this._workerCoordinator.requestSlot(request, this._identity.node, () => {})
    else this._peers.send(coordinator, request)
  }
}
