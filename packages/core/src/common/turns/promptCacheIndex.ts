/** Index of the workers that probably have parts of prompts in their caches, filled from the reported ends of turns. */

/** One part of a prompt. Requests with the same beginning share their leading parts, by id. */
export interface PromptPart {
  id: string
  tokens: number
}

/** A part of a prompt that a worker has probably cached. */
export interface CachedPart extends PromptPart {
  worker: string
}

/** The parts that were reported least recently are removed when there are more. */
const MAX_INDEXED_PARTS = 20_000

/**
 * Stores the last worker of every part of a prompt except the first: that one is shared by many programs and cached on
 * several workers.
 *
 * @example
 * index.recordPrompt('i-7f3a', prompt)
 * index.find(nextPrompt) // the parts that a worker has probably cached
 */
export class PromptCacheIndex {
  private readonly _parts = new Map<string, CachedPart>()

  /** Records that the worker has the prompt in its cache. */
  recordPrompt (worker: string, prompt: readonly PromptPart[]): void {
    for (const part of prompt.slice(1)) {
      this._parts.delete(part.id)
      this._parts.set(part.id, { ...part, worker })
    }
    for (const id of this._parts.keys()) {
      if (this._parts.size <= MAX_INDEXED_PARTS) return
      this._parts.delete(id)
    }
  }

  /** The known parts of the prompt, in its order, each with its worker and its number of tokens at the last report. */
  find (prompt: readonly PromptPart[]): CachedPart[] {
    return prompt.flatMap(({ id }) => {
      const part = this._parts.get(id)
      return part === undefined ? [] : [part]
    })
  }
}
