/** Knows which software version began a stream, so that the stream goes on only there, whichever node its caller takes it up at. */
import { type IWorkerRegistry, type LogFields, selectOwners } from '@trefoilshunt/core'
import { type PeerReply, type PeerRequest, type StreamBeginning, type StreamOrigin, VersionKnowledge } from '../../common/routed/routedPeerMessages.js'
import { steadyNowMs } from '../steadyClock.js'
import type { NodeDirectory } from './nodeDirectory.js'
import type { PeerMesh, PeerResponder } from './peerMesh.js'

/** Longer than a stream lasts over all tries of its caller. */
const MEMORY_MS = 20_000
/** Peers that hold the beginning of a stream besides the node that began it. */
const HOLDERS = 3
/** Peers that are asked for a beginning: more, because others may have been alive when it was sent. */
const ASKED_PEERS = 5
/** Peers that don't reply within this time count as not reachable. */
const REPLY_TIMEOUT_MS = 150
/** Longer than a read of the log waits for a change. */
const LIST_FRESH_MS = 3_500
const CHECK_PERIOD_MS = 250

/** `known`: the stream goes on there. `unknown`: it may have begun at another version than any worker that could be chosen. */
export type OriginOutcome = { type: 'known', origin: StreamOrigin } | { type: 'unknown', detail: string }

export interface StreamOriginsOptions {
  registry: IWorkerRegistry
  directory: NodeDirectory
  mesh: PeerMesh
  /** Time since the list of workers was first read; undefined before. */
  listKnownForMs: () => number | undefined
  /** Time since the list of workers was last read from the log. */
  listSilenceMs: () => number
  /** True if the log confirms, after the call, that this node has read all changes of the list of workers. */
  confirmList: () => Promise<boolean>
  write: (event: string, fields: LogFields) => void
}

interface Beginning extends StreamOrigin {
  atMs: number
  /** True if the stream began at this node. */
  isOwn: boolean
}

/**
 * While a service has had a single software version for longer than a stream lasts, nothing is sent. Otherwise the beginnings of
 * streams are sent to a few peers, those of the last seconds included when that state begins, so that the loss of a node loses none.
 *
 * @example
 * origins.recordBeginning(requestId, { service: 'engines', softwareVersion: 'v1' })
 * const outcome = await origins.resolve(request.resumedRequestId, 'engines')
 */
export class StreamOrigins {
  /** The oldest first. */
  private readonly _beginnings = new Map<string, Beginning>()
  /** Services whose beginnings are sent to peers. */
  private readonly _sharedServices = new Set<string>()
  private readonly _timer: NodeJS.Timeout
  /** Time at which a peer was last known to be without the log. */
  private _staleListSeenAtMs = Number.NEGATIVE_INFINITY

  constructor (private readonly _options: StreamOriginsOptions) {
    this._timer = setInterval(() => this._update(), CHECK_PERIOD_MS)
  }

  /** Number of beginnings held, of this node and of others. */
  get size (): number {
    return this._beginnings.size
  }

  dispose (): void {
    clearInterval(this._timer)
  }

  /** Must be called before the first event of a stream goes to the caller. */
  recordBeginning (requestId: string, origin: StreamOrigin): void {
    const isShared = this._isShared(origin.service)
    this._store(requestId, { ...origin, atMs: steadyNowMs(), isOwn: true })
    if (isShared) this._send([requestId])
  }

  /** Finds the workers at which a stream must go on; `service` is the one that would get it as a new stream. */
  async resolve (requestId: string | undefined, service: string): Promise<OriginOutcome> {
    const startedMs = steadyNowMs()
    const known = this._find(requestId)
    const peers = known === undefined ? this._selectPeers(requestId ?? service, ASKED_PEERS) : []
    const replies = await this._ask(peers, requestId, service)
    const found = known ?? replies.find(({ origin }) => origin !== undefined)?.origin
    // A node that hears no peer may be out of step, for example after it stood still, and not know a version at which others have begun streams.
    const isAlone = found === undefined && replies.length === 0
    const isInStep = !isAlone || await this._options.confirmList()
    const outcome = found === undefined ? this._resolveSingleVersion(service, { askedCount: peers.length, replies, isInStep }) : { type: 'known' as const, origin: found }
    this._options.write('streamOriginResolved', {
      resumes: requestId,
      service,
      outcome: outcome.type,
      softwareVersion: outcome.type === 'known' ? outcome.origin.softwareVersion : undefined,
      source: known !== undefined ? 'own' : found !== undefined ? 'peer' : 'versions',
      detail: outcome.type === 'unknown' ? outcome.detail : undefined,
      asked: peers.length,
      replied: replies.length,
      tookMs: Math.round(steadyNowMs() - startedMs)
    })
    return outcome
  }

  /** Handles a request of a peer; false if it is another kind of request. */
  handle (request: PeerRequest, respond: PeerResponder): boolean {
    switch (request.type) {
      case 'streamsBegun':
        for (const { requestId, service, softwareVersion, agoMs } of request.streams) {
          this._store(requestId, { service, softwareVersion, atMs: steadyNowMs() - agoMs, isOwn: false })
        }
        return true
      case 'findStreamOrigin': {
        const { requestId, service } = request
        respond({ type: 'streamOrigin', origin: this._find(requestId), ...this._versionsOf(service) }, true)
        return true
      }
      default: return false
    }
  }

  /** Without its beginning, a stream goes on only if all who reply know of a single version, and one for long enough. */
  private _resolveSingleVersion (service: string, { askedCount, replies, isInStep }: { askedCount: number, replies: readonly OriginReply[], isInStep: boolean }): OriginOutcome {
    if (!isInStep) return { type: 'unknown', detail: 'no peer replies, and the log does not confirm the list of workers' }
    const views = [this._versionsOf(service), ...replies]
    const seen = new Set(views.flatMap(({ version }) => version === undefined ? [] : [version]))
    if (seen.size > 1 || views.some(({ versions }) => versions === VersionKnowledge.Several)) return { type: 'unknown', detail: 'several software versions have served' }
    if (2 * replies.length < askedCount) return { type: 'unknown', detail: 'too few peers have replied' }
    const certain = new Set(views.flatMap(({ versions, version }) => versions === VersionKnowledge.Single && version !== undefined ? [version] : []))
    const [softwareVersion] = certain
    return certain.size === 1
      ? { type: 'known', origin: { service, softwareVersion } }
      : { type: 'unknown', detail: 'no node has known the software versions for long enough' }
  }

  private _versionsOf (service: string): { versions: VersionKnowledge, version?: string } {
    const { registry, listKnownForMs, listSilenceMs } = this._options
    const versions = registry.softwareVersionsOf(service, steadyNowMs())
    if (versions.length > 1) return { versions: VersionKnowledge.Several }
    const nowMs = steadyNowMs()
    // A peer without the log may still begin streams at a version that has left the list.
    const isListShared = nowMs - this._staleListSeenAtMs >= MEMORY_MS
    const isCertain = versions.length === 1 && (listKnownForMs() ?? 0) >= MEMORY_MS && listSilenceMs() < LIST_FRESH_MS && isListShared
    return isCertain ? { versions: VersionKnowledge.Single, version: versions[0] } : { versions: VersionKnowledge.Unknown, version: versions[0] }
  }

  private _find (requestId: string | undefined): StreamOrigin | undefined {
    const known = requestId === undefined ? undefined : this._beginnings.get(requestId)
    return known === undefined ? undefined : { service: known.service, softwareVersion: known.softwareVersion }
  }

  private _store (requestId: string, beginning: Beginning): void {
    this._beginnings.delete(requestId)
    this._beginnings.set(requestId, beginning)
  }

  /** True if the beginnings of a service's streams are sent to peers; sends the earlier ones when that state begins. */
  private _isShared (service: string): boolean {
    const isShared = this._versionsOf(service).versions !== VersionKnowledge.Single
    if (isShared === this._sharedServices.has(service)) return isShared
    if (isShared) this._sharedServices.add(service)
    else this._sharedServices.delete(service)
    this._options.write('streamOriginsShared', { service, isShared })
    if (isShared) this._send([...this._beginnings].filter(([, beginning]) => beginning.isOwn && beginning.service === service).map(([requestId]) => requestId))
    return isShared
  }

  private _update (): void {
    const nowMs = steadyNowMs()
    if (this._options.directory.alive.some(({ logSilenceMs }) => logSilenceMs >= LIST_FRESH_MS)) this._staleListSeenAtMs = nowMs
    const services = new Set<string>()
    for (const [requestId, { atMs, service, isOwn }] of this._beginnings) {
      if (nowMs - atMs >= MEMORY_MS) this._beginnings.delete(requestId)
      else if (isOwn) services.add(service)
    }
    for (const service of services) this._isShared(service)
  }

  /** Sends beginnings to the peers that hold them, in one message to each peer. */
  private _send (requestIds: readonly string[]): void {
    const nowMs = steadyNowMs()
    const messages = new Map<string, StreamBeginning[]>()
    for (const requestId of requestIds) {
      const beginning = this._beginnings.get(requestId)
      if (beginning === undefined) continue
      const { service, softwareVersion, atMs } = beginning
      for (const peer of this._selectPeers(requestId, HOLDERS)) {
        const streams = messages.get(peer) ?? []
        streams.push({ requestId, service, softwareVersion, agoMs: Math.round(nowMs - atMs) })
        messages.set(peer, streams)
      }
    }
    for (const [peer, streams] of messages) this._options.mesh.notify(peer, { type: 'streamsBegun', streams })
  }

  private _selectPeers (key: string, count: number): string[] {
    return selectOwners(key, this._options.directory.alive.map(({ from }) => from.node), count)
  }

  /** Replies up to the first one that knows the origin, or those within `REPLY_TIMEOUT_MS`. */
  private async _ask (peers: readonly string[], requestId: string | undefined, service: string): Promise<OriginReply[]> {
    const replies: OriginReply[] = []
    if (peers.length === 0) return replies
    return await new Promise(resolve => {
      let open = peers.length
      const handleReply = (reply: PeerReply | undefined): void => {
        open--
        if (reply?.type === 'streamOrigin') replies.push(reply)
        if (open === 0 || (reply?.type === 'streamOrigin' && reply.origin !== undefined)) resolve(replies)
      }
      for (const peer of peers) this._options.mesh.request(peer, { type: 'findStreamOrigin', requestId, service }, { timeoutMs: REPLY_TIMEOUT_MS, onReply: handleReply })
    })
  }
}

type OriginReply = Extract<PeerReply, { type: 'streamOrigin' }>
