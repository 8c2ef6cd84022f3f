/** Epochs under which the owners of a partition append. The log refuses appends under a lower epoch than the highest one that it has accepted. */

/** Number of epochs of one generation of the member group. */
export const EPOCHS_PER_GENERATION = 2 ** 20
/** Each step to a higher epoch is this many times as long as the one before, so that a few claims get past any epoch. */
const STEP_GROWTH = 4

/**
 * The epoch to claim in a generation.
 *
 * Within a generation only processes of one node, one after the other, are owners. All try the same epochs in the same order, so
 * that none claims a lower epoch than an earlier one has tried, whether or not the log has accepted that claim yet.
 *
 * @param outdatedEpoch an epoch, of any generation, for which the log has accepted a higher one.
 * @returns undefined if the generation has no higher epoch.
 * @example
 * nextEpoch(3) // 3 * EPOCHS_PER_GENERATION
 */
export function nextEpoch (generation: number, outdatedEpoch = -1): number | undefined {
  const baseEpoch = generation * EPOCHS_PER_GENERATION
  for (let offset = 0, step = 1; offset < EPOCHS_PER_GENERATION; offset += step, step *= STEP_GROWTH) {
    if (baseEpoch + offset > outdatedEpoch) return baseEpoch + offset
  }
  return undefined
}

/** The epoch to claim after the log has shown that another process has claimed `usedEpoch`; undefined if the generation has none left. */
export function epochAfterCollision (generation: number, usedEpoch: number): number | undefined {
  const epoch = usedEpoch + 1
  return epoch < (generation + 1) * EPOCHS_PER_GENERATION ? epoch : undefined
}
