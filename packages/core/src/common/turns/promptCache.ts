/** Where the prompts of a partition's programs are cached, as far as the ends of turns have told. */

/** One part of a prompt; requests share the leading parts. */
export interface PromptPart {
  id: string
  tokens: number
}

/** A part of a prompt that a worker has probably cached. */
export interface CachedPart extends PromptPart {
  worker: string
}

/** Parts that are remembered; the oldest yield. */
const MAX_PARTS = 20_000

/**
 * Remembers the last worker of every part but the first of each prompt: the first is shared by many programs and lies on
 * several workers.
 *
 * @example
 * cache.note('i-7f3a', prompt)
 * cache.find(nextPrompt) // the parts that some worker holds already
 */
export class PromptCache {
  private readonly _parts = new Map<string, CachedPart>()

  recordPrompt (worker: string, prompt: readonly PromptPart[]): void {
    for (const part of prompt.slice(1)) {
      this._parts.delete(part.id)
      this._parts.set(part.id, { ...part, worker })
    }
    for (const id of this._parts.keys()) {
      if (this._parts.size <= MAX_PARTS) return
      this._parts.delete(id)
    }
  }

  find (prompt: readonly PromptPart[]): CachedPart[] {
    return prompt.flatMap(({ id }) => {
      const part = this._parts.get(id)
      return part === undefined ? [] : [part]
    })
  }
}
