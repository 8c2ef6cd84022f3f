/** Calls to workers. */
import type { HeaderList } from './routedRequest.js'

export interface WorkerCall {
  workerId: string
  /** `host:port`. */
  address: string
  requestId: string
  method: string
  path: string
  headers: HeaderList
  body: ReadonlyArray<Uint8Array>
  /** The worker stops after this. */
  deadlineMs: number
  /** 0 is served first, 9 last; absent for plain services. */
  urgency?: number
  /** Goes on after this event. */
  lastEventId?: string
  /** Connections to this worker that this node may open. */
  maxConnections: number
}

export interface WorkerAnswerHead {
  status: number
  /** End-to-end headers of the answer. */
  headers: HeaderList
  isEventStream: boolean
}

export type CallFailure =
  | { type: 'notSent', detail: string }
  /** The worker said that it did not run the request; `isMisdirected` when it isn't the one that was asked for. */
  | { type: 'refused', isMisdirected: boolean, detail: string }
  | { type: 'broken', detail: string }

export interface IWorkerCallListener {
  onHead (head: WorkerAnswerHead): void
  onData (bytes: Uint8Array): void
  /** The answer is complete. */
  onEnd (): void
  onFailed (failure: CallFailure): void
}

export interface IOpenWorkerCall {
  /** Ends the call; no listener is called afterwards. */
  abort (): void
}

export interface IWorkerClient {
  call (call: WorkerCall, listener: IWorkerCallListener): IOpenWorkerCall
  /** True when a call to the address needs no new connection. */
  hasIdleConnection (address: string): boolean
  /** Closes idle connections to an address that no worker uses any more. */
  forget (address: string): void
  close (): Promise<void>
}
