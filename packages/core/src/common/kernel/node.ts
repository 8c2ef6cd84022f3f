/** Names and addresses of the VMs that the core uses. */

/** One run of the daemon on one entry VM. */
export interface NodeRef {
  /** Name of the entry VM, for example `regina-2`. */
  node: string
  /** New at each start of the daemon on that VM and after each fence of its journal; a later one sorts after the earlier ones. */
  incarnation: string
  /** `host:port` of the caller API. */
  address: string
}

/** What runs on a VM: a node (entry), a model engine or a service. */
export const VmRole = { Entry: 'entry', Engine: 'engine', Service: 'service' } as const
export type VmRole = typeof VmRole[keyof typeof VmRole]

export const VmState = { Live: 'live', Leaving: 'leaving' } as const
export type VmState = typeof VmState[keyof typeof VmState]

/** One entry of the platform's VM list. */
export interface VmEntry {
  name: string
  role: VmRole
  zone: string
  /** `host:port` of the caller API, engine or service. */
  address: string
  /** `host:port` at which an entry VM answers its peers; absent for other VMs. */
  peerAddress?: string
  /** Name of the back end or of the pool in configuration documents; absent for entry VMs. */
  backend?: string
  state: VmState
}

/** Identity of this node, from its settings. */
export interface NodeIdentity extends NodeRef {
  /** `host:port` at which the node answers its peers. */
  peerAddress: string
  zone: string
  /** Environment whose configuration document applies to the node. */
  environment: string
}
export const NodeIdentity = Symbol('NodeIdentity')

/** True when both name the same run of the daemon. */
export function isSameNode (left: NodeRef, right: NodeRef): boolean {
  return left.node === right.node && left.incarnation === right.incarnation
}
