/** Why a node loses a partition that the group has assigned to it. */

/** The group may have moved the partition meanwhile; the node has to ask it. */
export const PartitionLoss = {
  /** The log refused an append because of a higher epoch. */
  Fenced: 'fenced',
  /** A peer reported that it serves the partition under a higher epoch. */
  Replaced: 'replaced',
  /** The log expected another sequence number, so that another process appends under the same epoch. */
  OutOfSequence: 'outOfSequence',
  /** The generation has no epoch left that the log would accept. */
  EpochsExhausted: 'epochsExhausted'
} as const
export type PartitionLoss = typeof PartitionLoss[keyof typeof PartitionLoss]
