/** The reasons for which an owner gives up a partition without being asked to. */

/** Why a node lost a partition that the group still assigned to it. */
export const PartitionLoss = {
  /** The log refused an append because of a higher epoch. */
  Fenced: 'fenced',
  /** A peer reported that it serves the partition under a higher epoch. */
  Replaced: 'replaced',
  /** The log expected another sequence number, so that another process appends under the same epoch. */
  OutOfSequence: 'outOfSequence',
  /** The log has accepted an epoch that is not below the last one of the generation. */
  EpochsExhausted: 'epochsExhausted'
} as const
export type PartitionLoss = typeof PartitionLoss[keyof typeof PartitionLoss]
