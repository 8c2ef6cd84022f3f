/** Keeps what was forwarded of streams that callers may take up again, at this node and at peers, so that a turn is retained with all events that its caller holds. */
import { type LogFields, selectOwners } from '@trefoilshunt/core'
import { type EarlierEvents, type EarlierEventsOutcome, resolveEarlierEvents, type StreamAttempt } from '../../common/routed/earlierEvents.js'
import type { PeerReply, PeerRequest } from '../../common/routed/routedPeerMessages.js'
import { GrowingBuffer } from '../growingBuffer.js'
import { delay, steadyNowMs } from '../steadyClock.js'
import type { NodeDirectory } from './nodeDirectory.js'
import type { PeerMesh, PeerResponder } from './peerMesh.js'

/** Time after the last change of an attempt; longer than a caller takes over all its attempts. */
const MEMORY_MS = 20_000
/** Peers that hold the events of a stream besides the node that forwards them: in its zone and in another one, if there are such. */
const HOLDERS = 2
/** Peers that are asked for the events of a stream: more than hold them, because others may have been alive when these were sent. */
const ASKED_PEERS = 5
const ASKED_PEERS_PER_ZONE = 2
const REPLY_TIMEOUT_MS = 150
/** The last events of a lost node may reach their holders after the caller has come back. */
const LOOKUP_RETRY_MS = 50
const MAX_LOOKUP_MS = 250
const CHECK_PERIOD_MS = 250
/** A stream that is longer can't be taken up. */
const MAX_ATTEMPT_BYTES = 1024 * 1024
/** Of all attempts held; the streams that changed least recently are given up. */
const MAX_TOTAL_BYTES = 16 * 1024 * 1024
/** Memory of an attempt besides its events. */
const ATTEMPT_OVERHEAD_BYTES = 512
/** No more is sent to a peer that reads slowly; what it lacks follows later. */
const MAX_BACKLOG_BYTES = 1024 * 1024

/** What is forwarded of one attempt. */
export interface IForwardedOutput {
  /** Must be called before the events go to the caller. */
  append: (bytes: Uint8Array) => void
  /** No more events follow. */
  end: () => void
}

/** An attempt of a caller, and the event after which it takes a stream up. */
export interface StreamTakeUp {
  streamId: string
  attemptId: string
  lastEventId: string
}

export interface StreamOutputsOptions {
  zone: string
  directory: NodeDirectory
  mesh: PeerMesh
  write: (event: string, fields: LogFields) => void
}

interface HeldAttempt {
  readonly attemptId: string
  resumedAfter?: string
  ancestors: string[]
  readonly events: GrowingBuffer
  isEnded: boolean
  changedAtMs: number
  /** Present if this node forwards the attempt. */
  own?: OwnAttempt
}

/** What the peers have of an attempt of this node. */
interface OwnAttempt {
  readonly sentBytes: Map<string, number>
  /** Peers that know that the attempt has ended. */
  readonly toldEnd: Set<string>
  holders: string[]
  /** Version of the list of peers from which the holders were selected. */
  peersVersion: number
}

/** A peer that takes part. */
interface HolderCandidate {
  node: string
  zone: string
  isDraining: boolean
}

/**
 * Events are written to the holders before they are written to the caller, without waiting: they arrive although the process is killed.
 *
 * @example
 * const output = outputs.begin({ streamId: requestId, attemptId: requestId })
 * output.append(bytes)
 * const earlier = await outputs.resolve({ streamId: request.resumedRequestId, attemptId: request.requestId, lastEventId: '4' }, steadyNowMs() + 300)
 */
export class StreamOutputs {
  /** Attempts by stream, the streams that changed least recently first. */
  private readonly _streams = new Map<string, Map<string, HeldAttempt>>()
  private readonly _timer: NodeJS.Timeout
  private _byteCount = 0
  private _peers: HolderCandidate[] = []
  private _peersKey = ''
  private _peersVersion = 0
  /** Version of the list of peers for which all attempts were sent to their holders. */
  private _checkedPeersVersion = 0
  /** True if a holder lacks events that could not be sent to it. */
  private _hasUnsent = false

  constructor (private readonly _options: StreamOutputsOptions) {
    this._timer = setInterval(() => this._update(), CHECK_PERIOD_MS)
  }

  /** Number of streams of which events are held, of this node and of others. */
  get size (): number {
    return this._streams.size
  }

  /** Bytes held for all streams. */
  get byteCount (): number {
    return this._byteCount
  }

  dispose (): void {
    clearInterval(this._timer)
  }

  /** Begins to keep the events of an attempt at this node; `earlier` are those of the attempts that it continues. */
  begin ({ streamId, attemptId, lastEventId }: Omit<StreamTakeUp, 'lastEventId'> & { lastEventId?: string }, earlier?: Pick<EarlierEvents, 'events' | 'ancestors'>): IForwardedOutput {
    const attempt = this._open(streamId, attemptId)
    attempt.resumedAfter = lastEventId
    attempt.ancestors = [...earlier?.ancestors ?? []]
    attempt.own = { sentBytes: new Map(), toldEnd: new Set(), holders: [], peersVersion: -1 }
    if (earlier !== undefined) this._append(attempt, earlier.events)
    return {
      append: bytes => {
        if (!this._holds(streamId, attempt)) return
        this._append(attempt, bytes)
        this._touch(streamId, attempt)
        if (attempt.events.byteCount > MAX_ATTEMPT_BYTES) this._remove(streamId, 'the stream is too long')
        else this._send(streamId, attempt)
      },
      end: () => {
        if (!this._holds(streamId, attempt)) return
        attempt.isEnded = true
        this._send(streamId, attempt)
      }
    }
  }

  /** The attempt ended before it forwarded an event, so that no caller can hold any of it. */
  withdraw ({ streamId, attemptId, lastEventId }: StreamTakeUp): void {
    const attempt = this._streams.get(streamId)?.get(attemptId)
    if (attempt !== undefined) attempt.isEnded = true
    for (const peer of this._selectAsked(streamId)) {
      this._options.mesh.notify(peer, { type: 'streamOutput', streamId, attemptId, resumedAfter: lastEventId, ancestors: [streamId], offset: 0, bytes: Buffer.alloc(0), isEnded: true })
    }
  }

  /** Finds the events that the caller holds of a stream, and lets the nodes that are asked know of the new attempt. Repeats until `untilMs`, and at most for `MAX_LOOKUP_MS`. */
  async resolve (takeUp: StreamTakeUp, untilMs: number): Promise<EarlierEventsOutcome> {
    const startedMs = steadyNowMs()
    const endMs = Math.min(untilMs, startedMs + MAX_LOOKUP_MS)
    let lookup = await this._lookUp(takeUp)
    while (lookup.outcome.type === 'unknown' && !lookup.outcome.isFinal && steadyNowMs() + LOOKUP_RETRY_MS < endMs) {
      await delay(LOOKUP_RETRY_MS)
      lookup = await this._lookUp(takeUp)
    }
    const { outcome, asked, replied } = lookup
    this._options.write('streamOutputResolved', {
      requestId: takeUp.attemptId,
      resumes: takeUp.streamId,
      lastEventId: takeUp.lastEventId,
      outcome: outcome.type,
      events: outcome.type === 'known' ? outcome.eventCount : undefined,
      bytes: outcome.type === 'known' ? outcome.output.length : undefined,
      detail: outcome.type === 'unknown' ? outcome.detail : undefined,
      asked,
      replied,
      tookMs: Math.round(steadyNowMs() - startedMs)
    })
    return outcome
  }

  /** Handles a request of a peer; false if it is another kind of request. */
  handle (request: PeerRequest, respond: PeerResponder): boolean {
    switch (request.type) {
      case 'streamOutput':
        this._apply(request)
        return true
      case 'findStreamOutput': {
        const { streamId, attemptId, lastEventId } = request
        const attempts = this._attemptsOf(streamId, attemptId)
        this._register({ streamId, attemptId, lastEventId })
        respond({ type: 'streamAttempts', attempts }, true)
        return true
      }
      default: return false
    }
  }

  /** A peer to which a connection was established may have started anew, and hold nothing. */
  handleConnected (peer: string): void {
    for (const attempts of this._streams.values()) {
      for (const { own } of attempts.values()) {
        if (own?.sentBytes.delete(peer) === true) this._hasUnsent = true
        own?.toldEnd.delete(peer)
      }
    }
  }

  /** Another peer takes the place of one whose connection was lost. */
  handleDisconnected (): void {
    if (this._streams.size > 0) this._update()
  }

  /** Sends what this node holds for nodes that may be gone to other peers, because this node stops. */
  handOver (): void {
    this._refreshPeers()
    for (const [streamId, attempts] of this._streams) {
      for (const attempt of attempts.values()) {
        if (attempt.own !== undefined) continue
        for (const peer of this._selectHolders(streamId)) this._notify(peer, streamId, attempt, 0)
      }
    }
  }

  private async _lookUp (takeUp: StreamTakeUp): Promise<{ outcome: EarlierEventsOutcome, asked: number, replied: number }> {
    const { streamId, attemptId, lastEventId } = takeUp
    this._register(takeUp)
    const peers = this._selectAsked(streamId)
    const replies = await Promise.all(peers.map(async peer => await this._options.mesh.requestOnce(peer, { type: 'findStreamOutput', ...takeUp }, REPLY_TIMEOUT_MS)))
    const answers = replies.filter(isStreamAttempts)
    const counts = { asked: peers.length, replied: answers.length }
    const outcome = resolveEarlierEvents([...this._attemptsOf(streamId, attemptId), ...answers.flatMap(({ attempts }) => attempts)], lastEventId)
    if (outcome.type === 'unknown') return { outcome, ...counts }
    // Another node may have brought the caller further events.
    if (peers.length === 0 && this._options.directory.size > 0) return { outcome: { type: 'unknown', detail: 'no peer is reached that keeps the events of streams', isFinal: false }, ...counts }
    if (2 * answers.length < peers.length) return { outcome: { type: 'unknown', detail: 'too few peers have replied', isFinal: false }, ...counts }
    return { outcome, ...counts }
  }

  private _register ({ streamId, attemptId, lastEventId }: StreamTakeUp): void {
    if (this._streams.get(streamId)?.has(attemptId) === true) return
    const attempt = this._open(streamId, attemptId)
    attempt.resumedAfter = lastEventId
    attempt.ancestors = [streamId]
  }

  private _attemptsOf (streamId: string, askingAttemptId: string): StreamAttempt[] {
    return [...this._streams.get(streamId)?.values() ?? []]
      .filter(({ attemptId }) => attemptId !== askingAttemptId)
      .map(({ attemptId, resumedAfter, ancestors, events, isEnded }) => ({ attemptId, resumedAfter, ancestors, events: events.from(0), isEnded }))
  }

  private _apply ({ streamId, attemptId, resumedAfter, ancestors, offset, bytes, isEnded }: Extract<PeerRequest, { type: 'streamOutput' }>): void {
    const attempt = this._open(streamId, attemptId)
    if (attempt.own !== undefined) return
    attempt.resumedAfter = resumedAfter
    attempt.ancestors = [...new Set([...attempt.ancestors, ...ancestors])]
    const heldBytes = attempt.events.byteCount
    // Without the events before them, those of this message are of no use.
    if (offset <= heldBytes && offset + bytes.length > heldBytes) this._append(attempt, bytes.subarray(heldBytes - offset))
    if (isEnded && attempt.events.byteCount === offset + bytes.length) attempt.isEnded = true
    this._touch(streamId, attempt)
    if (attempt.events.byteCount > MAX_ATTEMPT_BYTES) this._remove(streamId, 'the stream is too long')
  }

  /** The attempt, which is held from now on. */
  private _open (streamId: string, attemptId: string): HeldAttempt {
    const attempts = this._streams.get(streamId) ?? new Map<string, HeldAttempt>()
    const attempt = attempts.get(attemptId) ?? { attemptId, ancestors: [], events: new GrowingBuffer(), isEnded: false, changedAtMs: 0 }
    if (!attempts.has(attemptId)) this._byteCount += ATTEMPT_OVERHEAD_BYTES
    attempts.set(attemptId, attempt)
    this._streams.set(streamId, attempts)
    this._touch(streamId, attempt)
    return attempt
  }

  private _append (attempt: HeldAttempt, bytes: Uint8Array): void {
    const { events } = attempt
    const before = events.capacityBytes
    events.append(bytes)
    this._byteCount += events.capacityBytes - before
  }

  /** Moves the stream to the end of the order in which streams are given up. */
  private _touch (streamId: string, attempt: HeldAttempt): void {
    attempt.changedAtMs = steadyNowMs()
    const attempts = this._streams.get(streamId)
    if (attempts === undefined) return
    this._streams.delete(streamId)
    this._streams.set(streamId, attempts)
    for (const oldest of this._streams.keys()) {
      if (this._byteCount <= MAX_TOTAL_BYTES || oldest === streamId) break
      this._remove(oldest, 'too many bytes are held')
    }
  }

  private _holds (streamId: string, attempt: HeldAttempt): boolean {
    return this._streams.get(streamId)?.get(attempt.attemptId) === attempt
  }

  private _remove (streamId: string, detail?: string): void {
    for (const { events } of this._streams.get(streamId)?.values() ?? []) this._byteCount -= events.capacityBytes + ATTEMPT_OVERHEAD_BYTES
    this._streams.delete(streamId)
    if (detail !== undefined) this._options.write('streamOutputDropped', { stream: streamId, detail, heldBytes: this._byteCount })
  }

  private _update (): void {
    if (this._streams.size === 0) return
    const nowMs = steadyNowMs()
    for (const [streamId, attempts] of this._streams) {
      if ([...attempts.values()].every(({ changedAtMs }) => nowMs - changedAtMs >= MEMORY_MS)) this._remove(streamId)
    }
    this._refreshPeers()
    if (this._checkedPeersVersion === this._peersVersion && !this._hasUnsent) return
    this._checkedPeersVersion = this._peersVersion
    this._hasUnsent = false
    for (const [streamId, attempts] of this._streams) {
      for (const attempt of attempts.values()) this._send(streamId, attempt)
    }
  }

  /** Sends an attempt of this node to its holders, to each what it lacks. */
  private _send (streamId: string, attempt: HeldAttempt): void {
    const { own, events, isEnded } = attempt
    if (own === undefined || events.byteCount === 0) return
    if (this._peersVersion === 0) this._refreshPeers()
    if (own.peersVersion !== this._peersVersion) {
      own.holders = this._selectHolders(streamId)
      own.peersVersion = this._peersVersion
    }
    for (const peer of own.holders) {
      const sentBytes = own.sentBytes.get(peer) ?? 0
      if (sentBytes === events.byteCount && (!isEnded || own.toldEnd.has(peer))) continue
      if (!this._notify(peer, streamId, attempt, sentBytes)) {
        this._hasUnsent = true
        continue
      }
      own.sentBytes.set(peer, events.byteCount)
      if (isEnded) own.toldEnd.add(peer)
    }
  }

  /** Sends the events after an offset; false if the peer does not take them at the moment. */
  private _notify (peer: string, streamId: string, { attemptId, resumedAfter, ancestors, events, isEnded }: HeldAttempt, offset: number): boolean {
    const { mesh } = this._options
    if (!mesh.isConnected(peer) || mesh.backlogBytes(peer) > MAX_BACKLOG_BYTES) return false
    mesh.notify(peer, { type: 'streamOutput', streamId, attemptId, resumedAfter, ancestors, offset, bytes: events.from(offset), isEnded })
    return true
  }

  private _refreshPeers (): void {
    this._peers = this._options.directory.alive
      .filter(({ holdsStreamOutputs }) => holdsStreamOutputs === true)
      .map(({ from: { node, zone }, isDraining }) => ({ node, zone, isDraining }))
    const key = this._peers.map(({ node, isDraining }) => `${node} ${isDraining}`).sort().join()
    if (key === this._peersKey && this._peersVersion > 0) return
    this._peersKey = key
    this._peersVersion++
  }

  private _selectHolders (streamId: string): string[] {
    const peers = this._peers.filter(({ isDraining }) => !isDraining)
    const isInOwnZone = ({ zone }: HolderCandidate): boolean => zone === this._options.zone
    const holders = [...selectOwners(streamId, namesOf(peers.filter(isInOwnZone)), 1), ...selectOwners(streamId, namesOf(peers.filter(peer => !isInOwnZone(peer))), 1)]
    if (holders.length === HOLDERS) return holders
    return [...holders, ...selectOwners(streamId, namesOf(peers).filter(peer => !holders.includes(peer)), HOLDERS - holders.length)]
  }

  private _selectAsked (streamId: string): string[] {
    this._refreshPeers()
    const zones = new Set(this._peers.map(({ zone }) => zone))
    const asked = [...zones].flatMap(zone => selectOwners(streamId, namesOf(this._peers.filter(peer => peer.zone === zone)), ASKED_PEERS_PER_ZONE))
    return [...new Set([...asked, ...selectOwners(streamId, namesOf(this._peers), ASKED_PEERS)])]
  }
}

function namesOf (peers: readonly HolderCandidate[]): string[] {
  return peers.map(({ node }) => node)
}

function isStreamAttempts (reply: PeerReply | undefined): reply is Extract<PeerReply, { type: 'streamAttempts' }> {
  return reply?.type === 'streamAttempts'
}
