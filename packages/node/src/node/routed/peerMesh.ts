/** Connections between the nodes: every node opens a connection to every other node and sends its status and requests over it. */
import { createConnection, createServer, isIPv4, type Server, type Socket } from 'node:net'
import { type ClockReading, ConnectionBudget, Emitter, type Event, type MemoryBudget, type MemoryClaim } from '@trefoilshunt/core'
import { Packr } from 'msgpackr'
import type { DocumentAge, NodeAddress, NodeStatus, PeerReply, PeerRequest } from '../../common/routed/routedPeerMessages.js'
import { ByteCollector } from '../byteCollector.js'
import { ClientLimit, type ClientLimitListener } from '../connectionGuard.js'
import { readClocks, steadyNowMs } from '../steadyClock.js'
import { type CompactStatus, compactStatus, expandStatus } from './statusCodec.js'
import { heartbeatTimeoutMs } from './statusPeriod.js'

/** Each frame is its length, as a 32-bit big-endian number, and a MessagePack body. */
const LENGTH_BYTES = 4
/** Larger than any chain of turns that a node sends; a larger frame closes the connection. */
const MAX_FRAME_BYTES = 64 * 1024 * 1024
/** Peers that have sent a whole frame may send smaller ones also while callers have exceeded the memory: a wait would end the connection. */
const SMALL_FRAME_BYTES = 256 * 1024
/** Shortest time between two attempts to connect to a peer. */
const REDIAL_INTERVAL_MS = 400
const CONNECT_TIMEOUT_MS = 800

/** `s` is the first status of a connection, `u` a later one, `p` the acknowledgement of either with the age of the sender's document, `q` a request and `r` a reply to request `i`; `l` marks the last one. */
type Frame =
  | { t: 's', s: NodeStatus }
  | { t: 'u', u: CompactStatus }
  | { t: 'p', d?: DocumentAge }
  | { t: 'q', i: number, q: PeerRequest }
  | { t: 'r', i: number, r: PeerReply, l: boolean }

export interface PeerRequestOptions {
  timeoutMs: number
  /** Called for each reply, or with undefined, as the last call, if the peer isn't connected, disconnects or has not sent the last reply after `timeoutMs`. */
  onReply: (reply: PeerReply | undefined) => void
}

/** Sends a reply to one request; none may follow one with `isLast`. */
export type PeerResponder = (reply: PeerReply, isLast: boolean) => void

/** The connection on which a request came. */
export interface PeerRequester {
  readonly onDidClose: Event<void>
}

export interface PeerMeshOptions {
  self: NodeAddress
  onStatus: (status: NodeStatus) => void
  onRequest: (request: PeerRequest, respond: PeerResponder, requester: PeerRequester) => void
  /** The age of this node's document, told to peers with each acknowledgement; undefined if it is of no interest or not known. */
  documentAge?: () => DocumentAge | undefined
  /** Called when a peer that has received the status sent at `askedAt` tells the age of its document. */
  onDocumentAge?: (age: DocumentAge, askedAt: ClockReading) => void
  /** Memory in which incomplete frames count that others send to this node. */
  memory?: MemoryBudget
  /** Connections of others that may be open at a time. */
  maxAccepted?: number
  onLimit?: ClientLimitListener
  /** Called when the connection that this node opened to a peer is established. */
  onConnected: (peer: string) => void
  /** Called when an established connection is closed, for whichever reason. `isClosedByPeer` if the peer closed it, which its machine does when its process ends. */
  onDisconnected: (peer: string, detail: string, isClosedByPeer: boolean) => void
}

interface PendingRequest {
  timer: NodeJS.Timeout
  onReply: (reply: PeerReply | undefined) => void
}

interface PeerConnection {
  address: NodeAddress
  socket?: Socket
  isConnected: boolean
  /** True once the first status was sent, which holds this node's address. */
  hasSentAddress: boolean
  lastReceivedAtMs: number
  nextDialAtMs: number
  pending: Map<number, PendingRequest>
  /** When the statuses were sent that the peer has not acknowledged, the earliest first. */
  statusesSentAt: ClockReading[]
}

/**
 * Sends statuses and requests to peers, and receives theirs.
 *
 * @example
 * const mesh = new PeerMesh({ self, onStatus, onRequest, onConnected, onDisconnected })
 * await mesh.listen()
 * mesh.addPeer(address)
 */
export class PeerMesh {
  private readonly _packr = new Packr({ useRecords: false })
  private readonly _connections = new Map<string, PeerConnection>()
  private readonly _accepted = new Set<Socket>()
  /** Of these, the connections on which a complete frame has arrived. */
  private readonly _proven = new WeakSet<Socket>()
  private readonly _budget: ConnectionBudget<Socket>
  private _server: Server | undefined
  private _lastId = 0
  private _isClosed = false

  constructor (private readonly _options: PeerMeshOptions) {
    this._budget = new ConnectionBudget({ maxConnections: _options.maxAccepted, isIdle: socket => !this._proven.has(socket) })
  }

  /** Names of the peers to which connections are kept, connected or not. */
  get peers (): string[] {
    return [...this._connections.keys()]
  }

  /** Accepts connections of peers; rejects if the own peer address can't be bound. */
  async listen (): Promise<void> {
    const server = createServer(socket => this._accept(socket))
    this._server = server
    const { host, port } = splitAddress(this._options.self.peerAddress)
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen(port, host, resolve)
    })
    // Without a listener an error of the listening socket would crash the process.
    server.on('error', () => {})
  }

  /** Keeps a connection to a peer from now on. For a known node, the address of an older incarnation is ignored and a newer one replaces the old one. */
  addPeer (address: NodeAddress): void {
    const { node, incarnation } = address
    if (node === this._options.self.node || this._isClosed) return
    const known = this._connections.get(node)
    if (known !== undefined) {
      if (known.address.incarnation === incarnation && known.address.peerAddress === address.peerAddress) return
      if (known.address.incarnation > incarnation) return
      const hasMoved = known.address.peerAddress !== address.peerAddress
      known.address = address
      if (!hasMoved) return
      this._disconnect(known, 'moved')
    }
    const connection: PeerConnection = known ?? { address, isConnected: false, hasSentAddress: false, lastReceivedAtMs: 0, nextDialAtMs: 0, pending: new Map(), statusesSentAt: [] }
    this._connections.set(node, connection)
    this._dial(connection)
  }

  /** Closes the connection to a peer and keeps none from now on; does nothing for an unknown peer. */
  removePeer (node: string): void {
    const connection = this._connections.get(node)
    if (connection === undefined) return
    this._connections.delete(node)
    this._disconnect(connection, 'removed')
  }

  /** True while the connection that this node opened to the peer is established; false for an unknown peer. */
  isConnected (node: string): boolean {
    return this._connections.get(node)?.isConnected ?? false
  }

  /** Bytes that were sent to a peer and are not yet passed on to the operating system; 0 for an unknown peer. */
  backlogBytes (node: string): number {
    return this._connections.get(node)?.socket?.writableLength ?? 0
  }

  /** Sends the status to every connected peer, and closes connections on which nothing was received within the heartbeat timeout. */
  sendStatus (status: NodeStatus): void {
    const nowMs = steadyNowMs()
    const sentAt = readClocks()
    const frame = this._encode({ t: 'u', u: compactStatus(status) })
    let firstFrame: Buffer | undefined
    for (const connection of this._connections.values()) {
      if (connection.isConnected && nowMs - connection.lastReceivedAtMs > heartbeatTimeoutMs(status.periodMs)) this._disconnect(connection, 'heartbeat timeout')
      if (!connection.isConnected) continue
      connection.statusesSentAt.push(sentAt)
      if (connection.hasSentAddress) {
        connection.socket?.write(frame)
      } else {
        firstFrame ??= this._encode({ t: 's', s: status })
        connection.socket?.write(firstFrame)
        connection.hasSentAddress = true
      }
    }
  }

  /** Starts connecting to each peer without a connection whose last attempt is long enough ago. */
  redial (): void {
    const nowMs = steadyNowMs()
    for (const connection of this._connections.values()) {
      if (connection.socket === undefined && nowMs >= connection.nextDialAtMs) this._dial(connection)
    }
  }

  /** Sends a request that may get several replies. */
  request (node: string, request: PeerRequest, { timeoutMs, onReply }: PeerRequestOptions): void {
    const connection = this._connections.get(node)
    if (connection?.isConnected !== true) {
      queueMicrotask(() => onReply(undefined))
      return
    }
    const id = ++this._lastId
    const timer = setTimeout(() => {
      connection.pending.delete(id)
      onReply(undefined)
    }, timeoutMs)
    connection.pending.set(id, { timer, onReply })
    connection.socket?.write(this._encode({ t: 'q', i: id, q: request }))
  }

  /** Sends a request with a single reply; resolves to undefined if there is none within `timeoutMs`. */
  async requestOnce (node: string, request: PeerRequest, timeoutMs: number): Promise<PeerReply | undefined> {
    return await new Promise(resolve => { this.request(node, request, { timeoutMs, onReply: resolve }) })
  }

  /** Sends a request that gets no reply; does nothing if the peer isn't connected. */
  notify (node: string, request: PeerRequest): void {
    const connection = this._connections.get(node)
    if (connection?.isConnected === true) connection.socket?.write(this._encode({ t: 'q', i: ++this._lastId, q: request }))
  }

  /** Closes all connections and stops listening. */
  async close (): Promise<void> {
    this._isClosed = true
    for (const connection of this._connections.values()) this._disconnect(connection, 'closed')
    for (const socket of this._accepted) socket.destroy()
    await new Promise<void>(resolve => {
      if (this._server === undefined) resolve()
      else this._server.close(() => resolve())
    })
  }

  private _dial (connection: PeerConnection): void {
    const { host, port } = splitAddress(connection.address.peerAddress)
    connection.nextDialAtMs = steadyNowMs() + REDIAL_INTERVAL_MS
    const socket = createConnection({ host, port, noDelay: true })
    connection.socket = socket
    connection.hasSentAddress = false
    connection.statusesSentAt = []
    const timer = setTimeout(() => socket.destroy(), CONNECT_TIMEOUT_MS)
    socket.on('connect', () => {
      clearTimeout(timer)
      connection.isConnected = true
      connection.lastReceivedAtMs = steadyNowMs()
      this._options.onConnected(connection.address.node)
    })
    this._readFrames(socket, frame => {
      connection.lastReceivedAtMs = steadyNowMs()
      if (frame.t === 'r') this._handleReply(connection, frame)
      else if (frame.t === 'p') this._handleAcknowledgement(connection, frame.d)
    })
    let detail = 'closed'
    let isClosedByPeer = false
    socket.on('end', () => { isClosedByPeer = true })
    socket.on('error', (error: NodeJS.ErrnoException) => {
      detail = error.message
      if (error.code === 'ECONNRESET' || error.code === 'EPIPE') isClosedByPeer = true
    })
    socket.on('close', () => {
      clearTimeout(timer)
      if (connection.socket === socket) this._disconnect(connection, detail, isClosedByPeer)
    })
  }

  private _handleReply (connection: PeerConnection, { i: id, r: reply, l: isLast }: Extract<Frame, { t: 'r' }>): void {
    const pending = connection.pending.get(id)
    if (pending === undefined) return
    if (isLast) {
      clearTimeout(pending.timer)
      connection.pending.delete(id)
    }
    pending.onReply(reply)
  }

  private _handleAcknowledgement (connection: PeerConnection, documentAge: DocumentAge | undefined): void {
    const sentAt = connection.statusesSentAt.shift()
    if (sentAt !== undefined && documentAge !== undefined) this._options.onDocumentAge?.(documentAge, sentAt)
  }

  private _disconnect (connection: PeerConnection, detail: string, isClosedByPeer = false): void {
    const { socket, isConnected, pending } = connection
    connection.socket = undefined
    connection.isConnected = false
    connection.pending = new Map()
    connection.statusesSentAt = []
    socket?.destroy()
    for (const { timer, onReply } of pending.values()) {
      clearTimeout(timer)
      onReply(undefined)
    }
    if (isConnected) this._options.onDisconnected(connection.address.node, detail, isClosedByPeer)
  }

  private _accept (socket: Socket): void {
    const address = socket.remoteAddress ?? ''
    const { isAdmitted, evicted } = this._budget.open(address, socket)
    if (!isAdmitted || evicted !== undefined) this._options.onLimit?.(evicted?.remoteAddress ?? address, ClientLimit.Connections, this._budget.count)
    evicted?.destroy()
    if (!isAdmitted) {
      socket.destroy()
      return
    }
    this._accepted.add(socket)
    socket.setNoDelay(true)
    // The side that opened a connection reports its loss.
    socket.on('error', () => {})
    const closed = new Emitter<void>()
    const requester = { onDidClose: closed.event }
    socket.on('close', () => {
      this._accepted.delete(socket)
      this._budget.close(address, socket)
      claim?.close()
      closed.fire()
    })
    const claim = this._options.memory?.open(address, {
      isEvictable: true,
      evict: () => {
        this._options.onLimit?.(address, ClientLimit.Memory, 0)
        socket.destroy()
      },
      resume: () => socket.resume()
    })
    const bareAcknowledgement = this._encode({ t: 'p' })
    const acknowledge = (): void => {
      const documentAge = this._options.documentAge?.()
      socket.write(documentAge === undefined ? bareAcknowledgement : this._encode({ t: 'p', d: documentAge }))
    }
    let from: NodeAddress | undefined
    this._readFrames(socket, frame => {
      this._proven.add(socket)
      if (frame.t === 's') {
        from = frame.s.from
        acknowledge()
        this._options.onStatus(frame.s)
      } else if (frame.t === 'u') {
        if (from === undefined) return
        acknowledge()
        this._options.onStatus(expandStatus(frame.u, from))
      } else if (frame.t === 'q') {
        this._options.onRequest(frame.q, (reply, isLast) => {
          if (!socket.destroyed) socket.write(this._encode({ t: 'r', i: frame.i, r: reply, l: isLast }))
        }, requester)
      }
    }, claim)
  }

  /** `claim` counts the incomplete frame; without room for it, the connection waits. */
  private _readFrames (socket: Socket, onFrame: (frame: Frame) => void, claim?: MemoryClaim): void {
    const received = new ByteCollector()
    let neededBytes = LENGTH_BYTES
    socket.on('data', chunk => {
      received.add(chunk)
      if (received.byteCount >= neededBytes) {
        let rest = received.concat()
        neededBytes = LENGTH_BYTES
        while (rest.length >= LENGTH_BYTES) {
          const length = rest.readUInt32BE(0)
          if (length > MAX_FRAME_BYTES) {
            socket.destroy()
            return
          }
          neededBytes = LENGTH_BYTES + length
          if (rest.length < neededBytes) break
          const frame = this._decode(rest.subarray(LENGTH_BYTES, neededBytes))
          rest = rest.subarray(neededBytes)
          neededBytes = LENGTH_BYTES
          if (frame === undefined) {
            socket.destroy()
            return
          }
          onFrame(frame)
        }
        if (rest.length > 0) received.add(rest)
      }
      if (claim === undefined || socket.destroyed) return
      const heldBytes = received.byteCount === 0 ? 0 : received.heldBytes
      if (this._proven.has(socket) && heldBytes <= SMALL_FRAME_BYTES) claim.set(heldBytes)
      else if (!claim.take(heldBytes, steadyNowMs())) socket.pause()
    })
  }

  private _encode (frame: Frame): Buffer {
    const body = this._packr.pack(frame)
    const bytes = Buffer.allocUnsafe(LENGTH_BYTES + body.length)
    bytes.writeUInt32BE(body.length, 0)
    body.copy(bytes, LENGTH_BYTES)
    return bytes
  }

  private _decode (bytes: Buffer): Frame | undefined {
    try {
      return this._packr.unpack(bytes) as Frame
    } catch {
      return undefined
    }
  }
}

const MAX_PORT = 65_535

/**
 * True for `host:port` with an IPv4 address and a port to which a connection may be opened.
 *
 * @example
 * isSocketAddress('10.2.64.41:8669') // true
 * isSocketAddress('10.2.64.41:99999') // false
 */
export function isSocketAddress (address: string): boolean {
  const { host, port } = splitAddress(address)
  return isIPv4(host) && /:\d+$/.test(address) && port >= 1 && port <= MAX_PORT
}

/** Splits `host:port`. */
export function splitAddress (address: string): { host: string, port: number } {
  const separatorIndex = address.lastIndexOf(':')
  return { host: address.slice(0, separatorIndex), port: Number(address.slice(separatorIndex + 1)) }
}
