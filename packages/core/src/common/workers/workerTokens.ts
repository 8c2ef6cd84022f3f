/** Tokens that the requests in flight need in the memory of each worker. */
import type { PromptPart } from '../turns/promptCacheIndex.js'

interface PartInUse {
  tokens: number
  requestCount: number
}

interface WorkerEntry {
  requestCount: number
  parts: Map<string, PartInUse>
  partTokens: number
  outputTokens: number
}

/**
 * A part that several requests share is in memory once.
 *
 * @example
 * tokens.begin('w1', prompt, 260)
 * tokens.tokensWith('w1', otherPrompt, 260)
 * tokens.end('w1', prompt, 260)
 */
export class WorkerTokens {
  private readonly _workers = new Map<string, WorkerEntry>()

  /** Adds a request with the output tokens that are expected of it. */
  begin (workerId: string, prompt: readonly PromptPart[], outputTokens: number): void {
    let worker = this._workers.get(workerId)
    if (worker === undefined) {
      worker = { requestCount: 0, parts: new Map(), partTokens: 0, outputTokens: 0 }
      this._workers.set(workerId, worker)
    }
    worker.requestCount++
    worker.outputTokens += outputTokens
    for (const { id, tokens } of prompt) {
      const known = worker.parts.get(id) ?? { tokens: 0, requestCount: 0 }
      const usedTokens = Math.max(known.tokens, tokens)
      worker.partTokens += usedTokens - known.tokens
      worker.parts.set(id, { tokens: usedTokens, requestCount: known.requestCount + 1 })
    }
  }

  /** Removes a request that was added with the same values. */
  end (workerId: string, prompt: readonly PromptPart[], outputTokens: number): void {
    const worker = this._workers.get(workerId)
    if (worker === undefined) return
    worker.requestCount--
    worker.outputTokens -= outputTokens
    for (const { id } of prompt) {
      const known = worker.parts.get(id)
      if (known === undefined || --known.requestCount > 0) continue
      worker.partTokens -= known.tokens
      worker.parts.delete(id)
    }
    if (worker.requestCount === 0) this._workers.delete(workerId)
  }

  /** Tokens in use if the worker got this request too. */
  tokensWith (workerId: string, prompt: readonly PromptPart[], outputTokens: number): number {
    const worker = this._workers.get(workerId)
    const addedTokens = prompt.reduce((total, { id, tokens }) => total + Math.max(0, tokens - (worker?.parts.get(id)?.tokens ?? 0)), outputTokens)
    return (worker?.partTokens ?? 0) + (worker?.outputTokens ?? 0) + addedTokens
  }
}
