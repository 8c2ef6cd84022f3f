/** HTTP client for the platform's log service and VM list. */
import { Agent, request } from 'undici'
import type { AppendOutcome, LogRecord, ReadOutcome, StoredRecord, VmEntry } from '@trefoilshunt/core'
import { appendAnswerSchema, readAnswerSchema, streamPath, VM_LIST_PATH, vmListSchema } from '@trefoilshunt/protocol'
import { classifyError } from './httpErrors.js'

const JSON_HEADERS = { 'content-type': 'application/json' }

/** Base URLs of the platform and the timeout of each request to it. */
export interface PlatformClientOptions {
  logServiceUrl: string
  vmListUrl: string
  logTimeoutMs: number
}

/** Reads and appends log records and reads the VM list. No method rejects. */
export class PlatformClient {
  private readonly _agent: Agent

  constructor (private readonly _options: PlatformClientOptions) {
    this._agent = new Agent({ connect: { timeout: _options.logTimeoutMs } })
  }

  /**
   * Appends records to a stream. `failed` means that no record was appended; `ambiguous` means that the records may have been appended,
   * as after a timeout or an unexpected answer.
   */
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
      const { isUntouched, detail } = classifyError(error)
      return { type: isUntouched ? 'failed' : 'ambiguous', detail }
    }
  }

  /** Reads at most `limit` records of a stream from an offset on. */
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
      return { type: 'failed', detail: classifyError(error).detail }
    }
  }

  /** The entries of the VM list; undefined if it could not be read. */
  async readVmList (): Promise<VmEntry[] | undefined> {
    try {
      const response = await request(`${this._options.vmListUrl}${VM_LIST_PATH}`, { dispatcher: this._agent, signal: AbortSignal.timeout(this._options.logTimeoutMs) })
      const answer = vmListSchema.safeParse(await response.body.json())
      return answer.success ? answer.data.entries : undefined
    } catch {
      return undefined
    }
  }

  /** Closes all connections; requests in progress fail. */
  async close (): Promise<void> {
    await this._agent.destroy()
  }
}
