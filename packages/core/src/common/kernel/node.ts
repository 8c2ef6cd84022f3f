/** Names and addresses of the machines that the core deals with. */

/** One run of the daemon on one entry VM. */
export interface NodeRef {
  /** Name of the entry VM, for example `regina-2`. */
  node: string
  /** Differs for each start of the daemon on that VM. */
  incarnation: string
  /** `host:port` of the caller API. */
  address: string
}

export const VmRole = { Entry: 'entry', Engine: 'engine', Service: 'service' } as const
export type VmRole = typeof VmRole[keyof typeof VmRole]

export const VmState = { Live: 'live', Leaving: 'leaving' } as const
export type VmState = typeof VmState[keyof typeof VmState]

/** One line of the platform's VM list. */
export interface VmEntry {
  name: string
  role: VmRole
  zone: string
  /** `host:port` of the caller API, engine or service. */
  address: string
  /** `host:port` where an entry VM answers its peers. */
  peerAddress?: string
  /** Name of the back end, as configuration documents name it; absent for entry VMs. */
  backend?: string
  state: VmState
}

/** What a node knows of itself from its settings. */
export interface NodeIdentity extends NodeRef {
  peerAddress: string
  zone: string
  environment: string
}
export const NodeIdentity = Symbol('NodeIdentity')

/** True when both name the same run of the daemon. */
export function isSameNode (left: NodeRef, right: NodeRef): boolean {
  return left.node === right.node && left.incarnation === right.incarnation
}
