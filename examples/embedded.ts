/**
 * Example of embedding the core in a custom host: one node, an in-memory log, an engine that echoes the prompt, no sockets.
 * Run it with `node --import tsx --conditions=development examples/embedded.ts`.
 */
import { type CallerReply, type CallerRequest, type ConfigurationDocument, type Effect, type InputEvent, Kernel, type LogRecord, VmRole, VmState } from '@trefoilshunt/core'

const DOCUMENT: ConfigurationDocument = {
  workKinds: [{ name: 'chat', rank: 'urgent', targetMs: 10_000, worth: 1, models: ['echo'], budget: { tokens: 1_000, steps: 10, toolCalls: 0, wallTimeMs: 60_000, depth: 0 } }],
  ranks: { urgent: { floorShare: 0 }, other: { floorShare: 0 } },
  customers: [{ name: 'me', weight: 1, maxOpenPrograms: 10 }],
  backends: [{ name: 'echo', type: 'modelEngine', orderLifetimeMs: 10_000, checksFencing: false, checksIdempotencyKeys: false, timeoutMs: 5_000, maxConcurrencyPerWorker: 4 }],
  idleTimeoutMs: 60_000,
  abandonGraceMs: 1_000
}

/** Hosts one kernel: passes input events to it and executes the effects that it returns. */
export class EmbeddedHost {
  private readonly _kernel = new Kernel({
    identity: { node: 'host-1', incarnation: '1', address: 'here', peerAddress: 'here', zone: 'home', environment: 'production' },
    seed: 1
  })

  private readonly _streams = new Map<string, LogRecord[]>()
  private readonly _timers = new Map<number, NodeJS.Timeout>()
  private readonly _replies = new Map<string, (reply: CallerReply) => void>()
  private _lastRequest = 0

  /** Starts the kernel with one worker and applies a configuration document. */
  async start (): Promise<void> {
    this._handle({ type: 'vmListed', entries: [{ name: 'echo-1', role: VmRole.Engine, zone: 'home', address: 'echo', backend: 'echo', state: VmState.Live }] })
    this._handle({ type: 'started' })
    await this.send({ type: 'apply', environment: 'production', baseRevision: 0, document: DOCUMENT, by: 'host' })
  }

  /** Sends a request and waits for the final reply; the chunks of a streamed one are ignored. */
  async send (request: CallerRequest): Promise<CallerReply> {
    const requestId = `r${++this._lastRequest}`
    return await new Promise(resolve => {
      this._replies.set(requestId, resolve)
      this._handle({ type: 'callerRequest', requestId, request, hops: 0 })
    })
  }

  /** Cancels all timers and disposes of the kernel. */
  stop (): void {
    for (const timer of this._timers.values()) clearTimeout(timer)
    this._kernel.dispose()
  }

  private _handle (event: InputEvent): void {
    for (const effect of this._kernel.handle(event, Date.now())) this._runEffect(effect)
  }

  /** Executes an effect. Its result is passed to the kernel in a later turn of the event loop, never while the kernel handles an event. */
  private _runEffect (effect: Effect): void {
    const handleLater = (event: InputEvent): void => { setImmediate(() => this._handle(event)) }
    switch (effect.type) {
      case 'setTimer':
        this._timers.set(effect.timerId, setTimeout(() => this._handle({ type: 'timerFired', timerId: effect.timerId }), effect.delayMs))
        return
      case 'cancelTimer': return clearTimeout(this._timers.get(effect.timerId))
      case 'appendLog': return handleLater({ type: 'logAppended', operationId: effect.operationId, outcome: { type: 'appended', firstOffset: this._append(effect.stream, effect.records) } })
      case 'readLog': return handleLater({ type: 'logRead', operationId: effect.operationId, outcome: this._read(effect.stream, effect.fromOffset) })
      case 'callBackend':
        if (effect.request.type === 'model') {
          const text = effect.request.messages.at(-1)?.content ?? ''
          handleLater({ type: 'backendEvent', callId: effect.callId, event: { type: 'chunk', text, tokens: text.length } })
          handleLater({ type: 'backendEvent', callId: effect.callId, event: { type: 'modelDone', result: { type: 'model', text: '', promptTokens: text.length, completionTokens: text.length, cachedTokens: 0 } } })
        }
        return
      case 'reply':
        if (effect.reply.type !== 'chunk') this._replies.get(effect.requestId)?.(effect.reply)
    }
  }

  private _append (stream: string, records: LogRecord[]): number {
    const storedRecords = this._streams.get(stream) ?? []
    const firstOffset = storedRecords.length
    this._streams.set(stream, [...storedRecords, ...records])
    return firstOffset
  }

  private _read (stream: string, fromOffset: number) {
    const storedRecords = this._streams.get(stream) ?? []
    const records = storedRecords.slice(fromOffset).map((record, index) => ({ offset: fromOffset + index, record }))
    return { type: 'read' as const, records, firstOffset: fromOffset, endOffset: storedRecords.length }
  }
}

/** Opens a program, runs one step and returns the text of the answer, or the reply as JSON if the step did not complete. */
export async function runExample (): Promise<string> {
  const host = new EmbeddedHost()
  await host.start()
  const opened = await host.send({ type: 'open', customer: 'me', kind: 'chat', key: 'first' })
  if (opened.type !== 'opened') throw new Error(JSON.stringify(opened))
  const done = await host.send({
    type: 'step',
    customer: 'me',
    programId: opened.programId,
    step: 1,
    key: 's1',
    historyDigest: opened.historyDigest,
    call: { type: 'model', messages: [{ role: 'user', content: 'hello' }], maxTokens: 16 },
    isResend: false,
    isStreamed: false,
    timeoutMs: 5_000
  })
  host.stop()
  return done.type === 'done' && done.result.type === 'model' ? done.result.text : JSON.stringify(done)
}

const isMain = process.argv[1]?.endsWith('embedded.ts') === true
if (isMain) {
  process.stdout.write(`${await runExample()}\n`)
  process.exit(0)
}
