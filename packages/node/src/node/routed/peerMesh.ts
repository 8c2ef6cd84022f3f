/** Connections between the nodes: every node dials every other one and sends its status and requests over its own connection. */
import { createConnection, createServer, type Server, type Socket } from 'node:net'
import { Packr } from 'msgpackr'
import type { NodeAddress, NodeStatus, PeerReply, PeerRequest } from '../../common/routed/routedPeerMessages.js'
import { steadyNowMs } from '../steadyClock.js'
import { heartbeatTimeoutMs } from './statusPeriod.js'

const LENGTH_BYTES = 4
/** Larger than any chain of turns that a node hands on. */
const MAX_FRAME_BYTES = 64 * 1024 * 1024
/** A changed list of peers goes over a connection at most this often: while a system starts, the list changes all the time. */
const PEERS_PERIOD_MS = 5_000
/** Pause between two tries to reach a peer. */
const REDIAL_MS = 400
const CONNECT_TIMEOUT_MS = 800

type Frame =
  | { t: 's', s: NodeStatus }
  | { t: 'p' }
  | { t: 'q', i: number, q: PeerRequest }
  | { t: 'r', i: number, r: PeerReply, l: boolean }

export interface PeerRequestOptions {
  timeoutMs: number
  /** Called for each reply; `undefined` once when the peer can't be reached or is too late. */
  onReply: (reply: PeerReply | undefined) => void
}

/** Sends the replies to one request; the last one closes it. */
export type PeerResponder = (reply: PeerReply, isLast: boolean) => void

export interface PeerMeshOptions {
  self: NodeAddress
  onStatus: (status: NodeStatus) => void
  onRequest: (request: PeerRequest, respond: PeerResponder) => void
  onConnected: (peer: string) => void
  onLost: (peer: string, detail: string) => void
  /** Shortest time between two lists of peers on one connection. */
  peersPeriodMs?: number
}

interface PendingRequest {
  timer: NodeJS.Timeout
  onReply: (reply: PeerReply | undefined) => void
}

export interface StatusOptions {
  /** Without peers. */
  status: NodeStatus
  /** Peers to tell of: to a new connection at once, to others some time after a change of `peersVersion`. */
  peers: readonly NodeAddress[]
  peersVersion: string
}

interface Dialed {
  address: NodeAddress
  /** The list of peers that was last sent on this connection. */
  toldPeers?: { version: string, atMs: number }
  socket?: Socket
  isConnected: boolean
  lastHeardMs: number
  nextDialMs: number
  pending: Map<number, PendingRequest>
}

/**
 * @example
 * const mesh = new PeerMesh({ self, onStatus, onRequest, onConnected, onLost })
 * await mesh.listen()
 * mesh.addPeer(address)
 */
export class PeerMesh {
  private readonly _packr = new Packr({ useRecords: false })
  private readonly _dialed = new Map<string, Dialed>()
  private readonly _accepted = new Set<Socket>()
  private _server: Server | undefined
  private _lastId = 0
  private _isClosed = false

  private readonly _peersPeriodMs: number

  constructor (private readonly _options: PeerMeshOptions) {
    this._peersPeriodMs = _options.peersPeriodMs ?? PEERS_PERIOD_MS
  }

  get peers (): string[] {
    return [...this._dialed.keys()]
  }

  async listen (): Promise<void> {
    const server = createServer(socket => this._accept(socket))
    this._server = server
    const { host, port } = splitAddress(this._options.self.peerAddress)
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen(port, host, resolve)
    })
    // Without a listener an error of the listening socket would end the process.
    server.on('error', () => {})
  }

  /** Keeps a connection to a peer from now on; a newer address of a known name replaces the old one. */
  addPeer (address: NodeAddress): void {
    const { node, incarnation } = address
    if (node === this._options.self.node || this._isClosed) return
    const known = this._dialed.get(node)
    if (known !== undefined) {
      if (known.address.incarnation === incarnation && known.address.peerAddress === address.peerAddress) return
      if (known.address.incarnation > incarnation) return
      const hasMoved = known.address.peerAddress !== address.peerAddress
      known.address = address
      if (!hasMoved) return
      this._drop(known, 'moved')
    }
    const dialed: Dialed = known ?? { address, isConnected: false, lastHeardMs: 0, nextDialMs: 0, pending: new Map() }
    this._dialed.set(node, dialed)
    this._dial(dialed)
  }

  removePeer (node: string): void {
    const dialed = this._dialed.get(node)
    if (dialed === undefined) return
    this._dialed.delete(node)
    this._drop(dialed, 'removed')
  }

  isConnected (node: string): boolean {
    return this._dialed.get(node)?.isConnected ?? false
  }

  /** Sends the status to every peer, and finds connections that have gone silent. */
  sendStatus ({ status, peers, peersVersion }: StatusOptions): void {
    const nowMs = steadyNowMs()
    const frame = this._encode({ t: 's', s: status })
    let frameWithPeers: Buffer | undefined
    for (const dialed of this._dialed.values()) {
      if (dialed.isConnected && nowMs - dialed.lastHeardMs > heartbeatTimeoutMs(status.periodMs)) this._drop(dialed, 'silent')
      if (!dialed.isConnected) continue
      const { toldPeers } = dialed
      if (toldPeers !== undefined && (toldPeers.version === peersVersion || nowMs - toldPeers.atMs < this._peersPeriodMs)) {
        dialed.socket?.write(frame)
        continue
      }
      frameWithPeers ??= this._encode({ t: 's', s: { ...status, peers: [...peers] } })
      dialed.socket?.write(frameWithPeers)
      dialed.toldPeers = { version: peersVersion, atMs: nowMs }
    }
  }

  /** Dials the peers that are not connected, each after a pause. */
  redial (): void {
    const nowMs = steadyNowMs()
    for (const dialed of this._dialed.values()) {
      if (dialed.socket === undefined && nowMs >= dialed.nextDialMs) this._dial(dialed)
    }
  }

  request (node: string, request: PeerRequest, { timeoutMs, onReply }: PeerRequestOptions): void {
    const dialed = this._dialed.get(node)
    if (dialed?.isConnected !== true) {
      queueMicrotask(() => onReply(undefined))
      return
    }
    const id = ++this._lastId
    const timer = setTimeout(() => {
      dialed.pending.delete(id)
      onReply(undefined)
    }, timeoutMs)
    dialed.pending.set(id, { timer, onReply })
    dialed.socket?.write(this._encode({ t: 'q', i: id, q: request }))
  }

  /** A request with a single reply; undefined when there was none in time. */
  async requestOnce (node: string, request: PeerRequest, timeoutMs: number): Promise<PeerReply | undefined> {
    return await new Promise(resolve => { this.request(node, request, { timeoutMs, onReply: resolve }) })
  }

  async close (): Promise<void> {
    this._isClosed = true
    for (const dialed of this._dialed.values()) this._drop(dialed, 'closed')
    for (const socket of this._accepted) socket.destroy()
    await new Promise<void>(resolve => {
      if (this._server === undefined) resolve()
      else this._server.close(() => resolve())
    })
  }

  private _dial (dialed: Dialed): void {
    const { host, port } = splitAddress(dialed.address.peerAddress)
    dialed.nextDialMs = steadyNowMs() + REDIAL_MS
    const socket = createConnection({ host, port, noDelay: true })
    dialed.socket = socket
    dialed.toldPeers = undefined
    const timer = setTimeout(() => socket.destroy(), CONNECT_TIMEOUT_MS)
    socket.on('connect', () => {
      clearTimeout(timer)
      dialed.isConnected = true
      dialed.lastHeardMs = steadyNowMs()
      this._options.onConnected(dialed.address.node)
    })
    this._read(socket, frame => {
      dialed.lastHeardMs = steadyNowMs()
      if (frame.t === 'r') this._settle(dialed, frame)
    })
    let detail = 'closed'
    socket.on('error', error => { detail = error.message })
    socket.on('close', () => {
      clearTimeout(timer)
      if (dialed.socket === socket) this._drop(dialed, detail)
    })
  }

  private _settle (dialed: Dialed, { i, r, l }: Extract<Frame, { t: 'r' }>): void {
    const pending = dialed.pending.get(i)
    if (pending === undefined) return
    if (l) {
      clearTimeout(pending.timer)
      dialed.pending.delete(i)
    }
    pending.onReply(r)
  }

  private _drop (dialed: Dialed, detail: string): void {
    const { socket, isConnected, pending } = dialed
    dialed.socket = undefined
    dialed.isConnected = false
    dialed.pending = new Map()
    socket?.destroy()
    for (const { timer, onReply } of pending.values()) {
      clearTimeout(timer)
      onReply(undefined)
    }
    if (isConnected) this._options.onLost(dialed.address.node, detail)
  }

  private _accept (socket: Socket): void {
    this._accepted.add(socket)
    socket.setNoDelay(true)
    // A broken connection is reported by the side that dialed it.
    socket.on('error', () => {})
    socket.on('close', () => this._accepted.delete(socket))
    const pong = this._encode({ t: 'p' })
    this._read(socket, frame => {
      if (frame.t === 's') {
        socket.write(pong)
        this._options.onStatus(frame.s)
      } else if (frame.t === 'q') {
        this._options.onRequest(frame.q, (reply, isLast) => {
          if (!socket.destroyed) socket.write(this._encode({ t: 'r', i: frame.i, r: reply, l: isLast }))
        })
      }
    })
  }

  private _read (socket: Socket, onFrame: (frame: Frame) => void): void {
    let chunks: Buffer[] = []
    let size = 0
    socket.on('data', chunk => {
      chunks.push(chunk)
      size += chunk.length
      while (size >= LENGTH_BYTES) {
        if (chunks[0].length < LENGTH_BYTES) chunks = [Buffer.concat(chunks)]
        const length = chunks[0].readUInt32BE(0)
        if (length > MAX_FRAME_BYTES) {
          socket.destroy()
          return
        }
        if (size < LENGTH_BYTES + length) return
        const joined = chunks.length === 1 ? chunks[0] : Buffer.concat(chunks)
        const rest = joined.subarray(LENGTH_BYTES + length)
        chunks = rest.length === 0 ? [] : [rest]
        size = rest.length
        const frame = this._decode(joined.subarray(LENGTH_BYTES, LENGTH_BYTES + length))
        if (frame === undefined) {
          socket.destroy()
          return
        }
        onFrame(frame)
      }
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

/** Splits `host:port`. */
export function splitAddress (address: string): { host: string, port: number } {
  const colon = address.lastIndexOf(':')
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) }
}
