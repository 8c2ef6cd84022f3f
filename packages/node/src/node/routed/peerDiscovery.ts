/** Asks peers for the nodes that they know, where the log doesn't tell: with the first connections of a start, and while the list of nodes can't be read. */
import type { IRandom, LogFields } from '@trefoilshunt/core'
import type { NodeAddress, PeerReply, PeerRequest } from '../../common/routed/routedPeerMessages.js'
import { steadyNowMs } from '../steadyClock.js'
import type { NodeDirectory } from './nodeDirectory.js'
import type { PeerMesh, PeerResponder } from './peerMesh.js'

const PERIOD_MS = 1_000
/** Shortest time between two requests: a node that starts without the log connects to many peers at once. */
const MIN_INTERVAL_MS = 200
const REPLY_TIMEOUT_MS = 500

export interface PeerDiscoveryOptions {
  self: NodeAddress
  directory: NodeDirectory
  mesh: Pick<PeerMesh, 'isConnected' | 'requestOnce'>
  /** True while the log tells which nodes there are. */
  isNodeListRead: () => boolean
  random: IRandom
  write: (event: string, fields: LogFields) => void
}

/**
 * Lists are sent on request only, since their size grows with the number of nodes, and with it the number of their receivers. A node
 * that no list names is found all the same: it connects to the nodes that it knows.
 *
 * @example
 * const discovery = new PeerDiscovery({ self, directory, mesh, isNodeListRead, random, write })
 * discovery.start()
 * discovery.handleConnected('seed-0')
 */
export class PeerDiscovery {
  private _timer: NodeJS.Timeout | undefined
  private _lastRequestAtMs = Number.NEGATIVE_INFINITY

  constructor (private readonly _options: PeerDiscoveryOptions) {}

  start (): void {
    this._timer = setInterval(() => this._requestFromAny(), PERIOD_MS)
  }

  stop (): void {
    clearInterval(this._timer)
  }

  /** To be called when this node has connected to a peer, which may be a seed. */
  handleConnected (peer: string): void {
    if (!this._options.isNodeListRead()) void this._request(peer)
  }

  /** Answers the request of a peer; false if it is another kind of request. */
  handle (request: PeerRequest, respond: PeerResponder): boolean {
    if (request.type !== 'nodes') return false
    const { self, directory } = this._options
    respond({ type: 'nodeList', nodes: [self, ...directory.alive.map(({ from }) => from)] }, true)
    return true
  }

  /** Nodes of the own zone go first: traffic between zones is dear. */
  private _requestFromAny (): void {
    const { self, directory, mesh, isNodeListRead, random } = this._options
    if (isNodeListRead()) return
    const peers = directory.alive.map(({ from }) => from).filter(({ node }) => mesh.isConnected(node))
    const nearPeers = peers.filter(({ zone }) => zone === self.zone)
    const candidates = nearPeers.length > 0 ? nearPeers : peers
    if (candidates.length > 0) void this._request(candidates[random.nextInt(candidates.length)].node)
  }

  private async _request (peer: string): Promise<void> {
    if (steadyNowMs() - this._lastRequestAtMs < MIN_INTERVAL_MS) return
    this._lastRequestAtMs = steadyNowMs()
    const { directory, mesh, write } = this._options
    const reply: PeerReply | undefined = await mesh.requestOnce(peer, { type: 'nodes' }, REPLY_TIMEOUT_MS)
    const nodes = reply?.type === 'nodeList' ? reply.nodes : undefined
    write('nodeListRequested', { peer, nodes: nodes?.length })
    for (const address of nodes ?? []) directory.add(address)
  }
}
