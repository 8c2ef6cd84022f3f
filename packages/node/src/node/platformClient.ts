/** Talks to the platform: the log service and the VM list. */
import { Agent, request } from 'undici'
import type { AppendOutcome, LogRecord, ReadOutcome, StoredRecord, VmEntry } from '@trefoilshunt/core'
import { appendAnswerSchema, readAnswerSchema, streamPath, VM_LIST_PATH, vmListSchema } from '@trefoilshunt/protocol'
import { describeError } from './httpErrors.js'

const JSON_HEADERS = { 'content-type': 'application/json' }

export interface PlatformClientOptions {
  logServiceUrl: string
  vmListUrl: string
  logTimeoutMs: number
}

export class PlatformClient {
  private readonly _agent: Agent

  constructor (private readonly _options: PlatformClientOptions) {
    this._agent = new Agent({ connect: { timeout: _options.logTimeoutMs } })
  }

  /** Appends records; whatever leaves a doubt is `ambiguous`. */
  async append (stream: string, records: LogRecord[]): Promise<AppendOutcome> {
    try {
      const response = await request(`${this._options.logServiceUrl}${streamPath(stream)}`, {
        method: 'POST', headers: JSON_HEADERS, body: JSON.stringify({ records }), dispatcher: this._agent, signal: AbortSignal.timeout(this._options.logTimeoutMs)
      })
      const text = await response.body.text()
      if (response.statusCode === 429 || response.statusCode === 503) return { type: 'failed', detail: `status ${response.statusCode}` }
      const answer = appendAnswerSchema.safeParse(JSON.parse(text))
      if (response.statusCode !== 200 || !answer.success) return { type: 'ambiguous', detail: `status ${response.statusCode}` }
      return { type: 'appended', firstOffset: answer.data.firstOffset }
    } catch (error) {
      const { isUntouched, detail } = describeError(error)
      return { type: isUntouched ? 'failed' : 'ambiguous', detail }
    }
  }

  async read (stream: string, fromOffset: number, limit: number): Promise<ReadOutcome> {
    try {
      const response = await request(`${this._options.logServiceUrl}${streamPath(stream)}?from=${fromOffset}&limit=${limit}`, {
        dispatcher: this._agent, signal: AbortSignal.timeout(this._options.logTimeoutMs)
      })
      const answer = readAnswerSchema.safeParse(await response.body.json())
      if (response.statusCode !== 200 || !answer.success) return { type: 'failed', detail: `status ${response.statusCode}` }
      const { records, firstOffset, endOffset } = answer.data
      return { type: 'read', records: records as StoredRecord[], firstOffset, endOffset }
    } catch (error) {
      return { type: 'failed', detail: describeError(error).detail }
    }
  }

  /** The VM list, or undefined when it could not be read. */
  async readVmList (): Promise<VmEntry[] | undefined> {
    try {
      const response = await request(`${this._options.vmListUrl}${VM_LIST_PATH}`, { dispatcher: this._agent, signal: AbortSignal.timeout(this._options.logTimeoutMs) })
      const answer = vmListSchema.safeParse(await response.body.json())
      return answer.success ? answer.data.entries : undefined
    } catch {
      return undefined
    }
  }

  async close (): Promise<void> {
    await this._agent.destroy()
  }
}
