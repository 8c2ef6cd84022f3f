/** Grants and ends turns at the owner of the program's partition, which may be this node or a peer. */
import { type CachedPart, type GrantRequest, hash32, joinChain, type RetainedTurn, type LogFields, type TurnEnd } from '@trefoilshunt/core'
import type { EndReply, GrantReply, PeerReply, PeerRequest } from '../../common/routed/routedPeerMessages.js'
import { delay, steadyNowMs } from '../steadyClock.js'
import type { NodeDirectory } from './nodeDirectory.js'
import type { PartitionHost } from './owners/partitionHost.js'
import type { Grant, PartitionOwner } from './owners/partitionOwner.js'
import type { PeerMesh, PeerResponder } from './peerMesh.js'

/** Time-out of a grant at a peer; well above a round trip between zones with an append. Ends get twice as long. */
const OWNER_TIMEOUT_MS = 700
/** Time-out from the request for a grant until its reservation is recorded. */
const RECORDED_TIMEOUT_MS = 3_000
const OWNER_RETRY_MS = 25
const MAX_OWNER_RETRY_MS = 250
const FIND_CHAIN_TIMEOUT_MS = 500
const END_FAILURES = { lost: 'the partition was lost', rejected: 'the log does not accept the turn' } as const

/** A turn that may run at a worker. */
export interface GrantedTurn {
  type: 'granted'
  /** Inputs and outputs of the earlier turns, in order. */
  chain: Uint8Array[]
  /** Parts of the prompt that workers hold in their caches. */
  cached: CachedPart[]
  /**
   * Resolves to true once the reservation is in the log. False means that it was lost, and the caller must not get any output.
   * Undefined when nothing has to be waited for.
   */
  recorded: Promise<boolean> | undefined
}

/**
 * Outcome of a request for a turn. `spent`: the budget doesn't hold the turn. `noSuchTurn`: the previous turn exists nowhere.
 * `unavailable`: no owner could decide with certainty.
 */
export type GrantOutcome = GrantedTurn | { type: 'spent' } | { type: 'noSuchTurn' } | { type: 'unavailable', detail: string }

export interface TurnServiceOptions {
  partitionCount: number
  host: PartitionHost
  mesh: PeerMesh
  directory: NodeDirectory
  /** Writes a log line. */
  write: (event: string, fields: LogFields) => void
}

/**
 * Decides on turns locally when this node owns the partition, and otherwise sends the request to the owner.
 *
 * @example
 * const outcome = await turns.grant(request, true, steadyNowMs() + 1_000)
 */
export class TurnService {
  constructor (private readonly _options: TurnServiceOptions) {}

  /** The partition of a program, from 0 to `partitionCount` - 1; the same at every node. */
  partitionOf (programId: string): number {
    return hash32(programId) % this._options.partitionCount
  }

  /** Requests a turn from the owner of the program's partition; the turn is recorded at its end if `isRetained`. Repeats until `untilMs` while the outcome is `unavailable`. */
  async grant (request: GrantRequest, isRetained: boolean, untilMs: number): Promise<GrantOutcome> {
    const partition = this.partitionOf(request.programId)
    let outcome: GrantOutcome = { type: 'unavailable', detail: 'no owner is known' }
    do {
      outcome = this._options.host.find(partition) === undefined
        ? await this._grantAtPeer(partition, request, isRetained)
        : await this._grantHere(partition, request, isRetained)
      if (outcome.type !== 'unavailable') return outcome
      await delay(OWNER_RETRY_MS)
    } while (steadyNowMs() < untilMs)
    return outcome
  }

  /** Reports the end of a turn to the owner and repeats it until `untilMs`; 'unavailable' when no owner has confirmed it by then. */
  async end (end: TurnEnd, untilMs: number): Promise<'recorded' | 'unavailable'> {
    const partition = this.partitionOf(end.programId)
    let retryMs = OWNER_RETRY_MS
    for (;;) {
      const reply = await this._endOnce(partition, end, untilMs)
      if (reply.type === 'ended') return 'recorded'
      if (steadyNowMs() >= untilMs) {
        this._options.write('turnEndUnreported', { requestId: end.requestId, program: end.programId, partition, usedTokens: end.usedTokens, detail: reply.detail })
        return 'unavailable'
      }
      await delay(retryMs)
      retryMs = Math.min(MAX_OWNER_RETRY_MS, retryMs * 1.5)
    }
  }

  /** Handles a peer's request; false, without a reply, when the request isn't about turns. */
  handle (request: PeerRequest, respond: PeerResponder): boolean {
    switch (request.type) {
      case 'grant':
        void this._serveGrant(request.partition, request.request, request.isKept, respond)
        return true
      case 'end':
        void this._endHere(request.partition, request.end).then(reply => respond(reply, true))
        return true
      case 'findChain':
        void this._findChainHere(request.turnId).then(reply => respond(reply, true))
        return true
      default: return false
    }
  }

  private async _serveGrant (partition: number, request: GrantRequest, isRetained: boolean, respond: PeerResponder): Promise<void> {
    const outcome = await this._grantHere(partition, request, isRetained)
    if (outcome.type !== 'granted') {
      respond(outcome, true)
      return
    }
    const { chain, cached, recorded } = outcome
    respond({ type: 'granted', chain, cached, isRecorded: recorded === undefined }, recorded === undefined)
    if (recorded === undefined) return
    const isRecorded = await recorded
    respond(isRecorded ? { type: 'recorded' } : { type: 'unavailable', detail: 'the partition was lost' }, true)
  }

  private async _grantHere (partition: number, request: GrantRequest, isRetained: boolean): Promise<GrantOutcome> {
    const owner = this._options.host.find(partition)
    if (owner === undefined) return { type: 'unavailable', detail: 'not the owner' }
    let grant = owner.grant(request, isRetained)
    if (grant.type === 'noSuchTurn' && request.previousTurnId !== undefined) {
      const found = await this._findChainEverywhere(request.previousTurnId)
      if (found === 'uncertain') return { type: 'unavailable', detail: 'not every partition could be searched' }
      if (found !== undefined) {
        owner.importTurns(found)
        grant = owner.grant(request, isRetained)
      }
    }
    this._logDecision(owner, request, grant)
    if (grant.type === 'granted') {
      const { chain, cached, recorded } = grant
      return { type: 'granted', chain: joinChain(chain, new Uint8Array(0)).slice(0, -1), cached, recorded }
    }
    if (grant.type === 'stalled') return { type: 'unavailable', detail: 'the log takes no records, or the history is not read completely yet' }
    if (!await owner.confirm()) return { type: 'unavailable', detail: 'the ownership is not confirmed' }
    return grant
  }

  private _logDecision (owner: PartitionOwner, { requestId, programId, previousTurnId, budgetTokens, maxTokens }: GrantRequest, grant: Grant): void {
    this._options.write('turnDecided', {
      requestId,
      program: programId,
      outcome: grant.type,
      partition: owner.partition,
      epoch: owner.epoch,
      previousTurn: previousTurnId,
      chainTurns: grant.type === 'granted' ? grant.chain.length : undefined,
      isRecorded: grant.type === 'granted' ? grant.recorded === undefined : undefined,
      isHistoryComplete: owner.isHistoryComplete,
      isLogStalled: owner.isStalled,
      committedTokens: owner.committedTokensOf(programId),
      maxTokens,
      budgetTokens
    })
  }

  private async _grantAtPeer (partition: number, request: GrantRequest, isRetained: boolean): Promise<GrantOutcome> {
    const owner = this._options.directory.ownerOf(partition)
    if (owner === undefined) return { type: 'unavailable', detail: 'no owner is known' }
    return await new Promise(resolve => {
      let resolveRecorded: ((isRecorded: boolean) => void) | undefined
      const timer = setTimeout(() => resolve({ type: 'unavailable', detail: `${owner} did not answer` }), OWNER_TIMEOUT_MS)
      this._options.mesh.request(owner, { type: 'grant', partition, request, isKept: isRetained }, {
        timeoutMs: RECORDED_TIMEOUT_MS,
        onReply: reply => {
          clearTimeout(timer)
          if (resolveRecorded !== undefined) resolveRecorded(reply?.type === 'recorded')
          else resolve(toOutcome(reply, owner, resolvePending => { resolveRecorded = resolvePending }))
        }
      })
    })
  }

  private async _endOnce (partition: number, end: TurnEnd, untilMs: number): Promise<EndReply> {
    if (this._options.host.find(partition) !== undefined) return await this._endHere(partition, end)
    const owner = this._options.directory.ownerOf(partition)
    if (owner === undefined) return { type: 'unavailable', detail: 'no owner is known' }
    const timeoutMs = Math.max(OWNER_RETRY_MS, Math.min(OWNER_TIMEOUT_MS * 2, untilMs - steadyNowMs()))
    const reply = await this._options.mesh.requestOnce(owner, { type: 'end', partition, end }, timeoutMs)
    if (reply?.type === 'ended' || reply?.type === 'unavailable') return reply
    return { type: 'unavailable', detail: `${owner} did not answer` }
  }

  private async _endHere (partition: number, end: TurnEnd): Promise<EndReply> {
    const outcome = await this._options.host.find(partition)?.end(end)
    if (outcome === 'recorded') return { type: 'ended' }
    return { type: 'unavailable', detail: outcome === undefined ? 'not the owner' : END_FAILURES[outcome] }
  }

  /** Searches the partitions served here. Without a chain, `partitions` are those with a complete history and a confirmed ownership. */
  private async _findChainHere (turnId: string): Promise<Extract<PeerReply, { type: 'chain' }>> {
    const owners = this._options.host.served
    for (const owner of owners) {
      const chain = owner.chainOf(turnId)
      if (chain !== undefined) return { type: 'chain', chain, partitions: [owner.partition] }
    }
    const confirmed = await Promise.all(owners.filter(owner => owner.isHistoryComplete).map(async owner => await owner.confirm() ? [owner.partition] : []))
    return { type: 'chain', partitions: confirmed.flat() }
  }

  /** Searches for a turn at all owners. Undefined means that it exists nowhere: every partition was searched by its confirmed owner. */
  private async _findChainEverywhere (turnId: string): Promise<RetainedTurn[] | undefined | 'uncertain'> {
    const { mesh, directory, partitionCount } = this._options
    const owners = new Set<string>()
    for (let partition = 0; partition < partitionCount; partition++) {
      const owner = directory.ownerOf(partition)
      if (owner !== undefined) owners.add(owner)
    }
    const replies = await Promise.all([
      this._findChainHere(turnId),
      ...[...owners].map(async owner => await mesh.requestOnce(owner, { type: 'findChain', turnId }, FIND_CHAIN_TIMEOUT_MS))
    ])
    const searched = new Set<number>()
    for (const reply of replies) {
      if (reply?.type !== 'chain') continue
      if (reply.chain !== undefined) return reply.chain
      for (const partition of reply.partitions) searched.add(partition)
    }
    return searched.size === partitionCount ? undefined : 'uncertain'
  }
}

function toOutcome (reply: PeerReply | undefined, owner: string, onRecordPending: (resolvePending: (isRecorded: boolean) => void) => void): GrantOutcome {
  if (reply === undefined || !isGrantReply(reply)) return { type: 'unavailable', detail: `${owner} did not answer` }
  if (reply.type !== 'granted') return reply
  const { chain, cached, isRecorded } = reply
  const recorded = isRecorded ? undefined : new Promise<boolean>(resolve => onRecordPending(resolve))
  return { type: 'granted', chain, cached, recorded }
}

function isGrantReply (reply: PeerReply): reply is Exclude<GrantReply, { type: 'recorded' }> {
  return reply.type === 'granted' || reply.type === 'spent' || reply.type === 'noSuchTurn' || reply.type === 'unavailable'
}
