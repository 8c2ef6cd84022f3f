/** Which nodes of an availability zone callers should connect to, where its VMs differ in size. */

/** A ready node, as its latest status describes it. */
export interface EntryNode {
  /** `host:port` for callers. */
  callerAddress: string
  /** Processor cores, fractions included. */
  cores: number
  /** Share of its time in which the node was busy a moment ago, 0 to 1. */
  busyShare: number
}

export interface EntryNodeOptions {
  /** Nodes with at least this share of the cores of the largest one are of one size. */
  sameSizeShare: number
  /** The chosen nodes may be busy for this share of their time once they do the work of all; the rest is kept for bursts and lost nodes. */
  maxBusyShare: number
  /** The least number of nodes to choose from. */
  minNodes: number
}

export const DEFAULT_ENTRY_NODES: EntryNodeOptions = { sameSizeShare: 0.75, maxBusyShare: 0.5, minNodes: 4 }

/**
 * Chooses the largest nodes, and those of the next size while the larger ones are too few or would be too busy with the work of all. Load that it answers: callers
 * that are spread over hundreds of small nodes, each of which needs its own connection to every worker, has seldom used it before, and takes several
 * times as long for a request as a large node.
 *
 * @example
 * const large = Array.from({ length: 8 }, (_, index) => ({ callerAddress: `large${index}`, cores: 1.35, busyShare: 0.1 }))
 * const small = Array.from({ length: 30 }, (_, index) => ({ callerAddress: `small${index}`, cores: 0.3, busyShare: 0.1 }))
 * chooseEntryNodes([...small, ...large]) // the eight large ones
 */
export function chooseEntryNodes (nodes: readonly EntryNode[], options: Partial<EntryNodeOptions> = {}): EntryNode[] {
  const { sameSizeShare, maxBusyShare, minNodes } = { ...DEFAULT_ENTRY_NODES, ...options }
  const busyCores = nodes.reduce((total, { cores, busyShare }) => total + cores * busyShare, 0)
  const remaining = [...nodes].sort((left, right) => right.cores - left.cores)
  const chosen: EntryNode[] = []
  let capacityCores = 0
  while (remaining.length > 0 && (chosen.length < minNodes || capacityCores < busyCores)) {
    const minCores = sameSizeShare * remaining[0].cores
    const sameSizeCount = remaining.filter(({ cores }) => cores >= minCores).length
    for (const node of remaining.splice(0, sameSizeCount)) {
      chosen.push(node)
      capacityCores += maxBusyShare * node.cores
    }
  }
  return chosen
}
