/** Nodes that exchange what they know of the beginnings of streams, in virtual time. */
import { type WorkerRegistration, WorkerRegistry } from '@trefoilshunt/core'
import type { NodeAddress, NodeStatus, PeerReply, PeerRequest } from '@trefoilshunt/node/routed'
import { NodeDirectory } from '../../../src/node/routed/nodeDirectory.js'
import type { PeerMesh } from '../../../src/node/routed/peerMesh.js'
import { type OriginOutcome, StreamOrigins } from '../../../src/node/routed/streamOrigins.js'
import { VirtualTime } from './virtualTime.js'

export const SERVICE = 'engines'
const HOP_MS = 2
export const LONG_MS = 30_000

export interface TestNode {
  origins: StreamOrigins
  registry: WorkerRegistry
  directory: NodeDirectory
  /** Time at which the node read the list of workers, undefined if it has not; it is behind a cut from the log since `silentSinceMs`. */
  listReadAtMs: number | undefined
  silentSinceMs: number | undefined
  /** True while the log holds changes of the list that the node has not read. */
  isListBehind: boolean
  sentCount: number
  isCut: boolean
}

export function createWorker (workerId: string, softwareVersion: string): WorkerRegistration {
  return { workerId, service: SERVICE, address: '127.0.0.1:1', zone: 'a', softwareVersion, slots: 4, isDraining: false, startedAtMs: 1, coldLeftMs: 0 }
}

function createAddress (node: string): NodeAddress {
  return { node, zone: 'a', incarnation: '1', peerAddress: `${node}:1`, callerAddress: node }
}

export function createStatus (node: string, logSilenceMs = 0): NodeStatus {
  return { type: 'status', from: createAddress(node), periodMs: 1_000_000, isReady: true, isDraining: false, owned: [], documentVersion: 1, cores: 1, logSilenceMs, busyShare: 0, load: {} }
}

/** Starts a node in the place of an earlier one of its name; it knows nothing yet but one worker of each of `versions`, if it has read their list. */
export function startNode (time: VirtualTime, nodes: Map<string, TestNode>, { name, names, versions }: { name: string, names: readonly string[], versions: readonly string[] | undefined }): TestNode {
  nodes.get(name)?.origins.dispose()
  const registry = new WorkerRegistry()
  for (const version of versions ?? []) registry.update(`w-${version}`, createWorker(`w-${version}`, version), time.nowMs)
  const directory = new NodeDirectory({ self: createAddress(name), nowMs: () => performance.now(), onAdded: () => {}, onRemoved: () => {} })
  for (const peer of names) {
    if (peer !== name) directory.applyStatus(createStatus(peer))
  }
  const deliver = (to: string, request: PeerRequest, onReply: (reply: PeerReply | undefined) => void): void => {
    node.sentCount++
    setTimeout(() => {
      const peer = nodes.get(to)
      if (peer !== undefined && !peer.isCut && !node.isCut) peer.origins.handle(request, reply => setTimeout(() => onReply(reply), HOP_MS))
    }, HOP_MS)
  }
  const mesh = {
    request: (to: string, request: PeerRequest, { timeoutMs, onReply }: { timeoutMs: number, onReply: (reply: PeerReply | undefined) => void }) => {
      const timer = setTimeout(() => onReply(undefined), timeoutMs)
      deliver(to, request, reply => {
        clearTimeout(timer)
        onReply(reply)
      })
    },
    notify: (to: string, request: PeerRequest) => deliver(to, request, () => {})
  } as unknown as PeerMesh
  const node: TestNode = {
    registry,
    directory,
    listReadAtMs: versions === undefined ? undefined : time.nowMs,
    silentSinceMs: undefined,
    isListBehind: false,
    sentCount: 0,
    isCut: false,
    origins: new StreamOrigins({
      registry,
      directory,
      mesh,
      listKnownForMs: () => node.listReadAtMs === undefined ? undefined : time.nowMs - node.listReadAtMs,
      confirmList: async () => {
        await new Promise<void>(resolve => { setTimeout(resolve, HOP_MS) })
        return node.silentSinceMs === undefined && !node.isListBehind
      },
      listSilenceMs: () => node.silentSinceMs === undefined ? 0 : time.nowMs - node.silentSinceMs,
      write: () => {}
    })
  }
  nodes.set(name, node)
  return node
}

/** Nodes that exchange their messages in memory and know one worker of version v1. */
function createNodes (time: VirtualTime, names: readonly string[]): Map<string, TestNode> {
  const nodes = new Map<string, TestNode>()
  for (const name of names) startNode(time, nodes, { name, names, versions: ['v1'] })
  return nodes
}

export async function resolve (time: VirtualTime, node: TestNode | undefined, requestId: string | undefined): Promise<string> {
  let outcome: OriginOutcome | undefined
  void node?.origins.resolve(requestId, SERVICE).then(result => { outcome = result })
  await time.advance(200)
  return outcome?.type === 'known' ? outcome.origin.softwareVersion : outcome?.type ?? 'none'
}

/** Runs a test with nodes that have known the workers for `ageMs`. */
export async function run (names: readonly string[], ageMs: number, body: (time: VirtualTime, nodes: Map<string, TestNode>) => Promise<void>): Promise<void> {
  await VirtualTime.run(async time => {
    const nodes = createNodes(time, names)
    await time.advance(ageMs)
    await body(time, nodes)
    for (const { origins } of nodes.values()) origins.dispose()
  })
}
