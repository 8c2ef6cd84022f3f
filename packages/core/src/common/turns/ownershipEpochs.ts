/** Epochs under which the owners of a partition append. The log refuses appends under a lower epoch than the highest one that it has accepted. */

/** Number of epochs of one generation of the member group. */
export const EPOCHS_PER_GENERATION = 2 ** 20
/** An owner raises the epoch to the first of these, and then to the second, under which it appends. */
const EPOCHS_PER_OWNER = 2
/** Each step to the epochs of another owner is this many times as long as the one before, so that a limited number of calls gets past any epoch. */
const STEP_GROWTH = 2

/**
 * The epoch to which an owner raises that of its partition; it appends under the one after it. The log accepts the first only if
 * no other process appends under the second yet.
 *
 * Within a generation only processes of one node, one after the other, are owners. All try the same epochs in the same order, so
 * that none appends under a lower epoch than an earlier one has tried to raise to, whether or not the log has executed that call yet.
 *
 * @param outdatedEpoch an epoch, of any generation, for which the log has accepted a higher one.
 * @returns undefined if the generation has no higher epoch.
 * @example
 * nextEpoch(3) // 3 * EPOCHS_PER_GENERATION
 */
export function nextEpoch (generation: number, outdatedEpoch = -1): number | undefined {
  const baseEpoch = generation * EPOCHS_PER_GENERATION
  for (let offset = 0, step = EPOCHS_PER_OWNER; offset < EPOCHS_PER_GENERATION; offset += step, step *= STEP_GROWTH) {
    if (baseEpoch + offset > outdatedEpoch) return baseEpoch + offset
  }
  return undefined
}
