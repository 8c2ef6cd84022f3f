/** Port for the platform's log service. */
import { inject, injectable } from 'tsyringe'
import { IEffects } from './effectQueue.js'
import type { AppendOutcome, LogRecord, ReadOutcome } from './logRecords.js'

/** An append-only log with offsets, as the core uses it. */
export interface ILogService {
  /** Appends records in one request. They get consecutive offsets if they are stored. */
  append (stream: string, records: LogRecord[], onOutcome: (outcome: AppendOutcome) => void): void
  /** Reads up to `limit` records from an offset on. A stream that does not exist reads as empty. */
  read (stream: string, fromOffset: number, limit: number, onOutcome: (outcome: ReadOutcome) => void): void
}
export const ILogService = Symbol('ILogService')

@injectable()
export class LogPort implements ILogService {
  private readonly _appends = new Map<number, (outcome: AppendOutcome) => void>()
  private readonly _reads = new Map<number, (outcome: ReadOutcome) => void>()

  constructor (@inject(IEffects) private readonly _effects: IEffects) {}

  append (stream: string, records: LogRecord[], onOutcome: (outcome: AppendOutcome) => void): void {
    const operationId = this._effects.nextId()
    this._appends.set(operationId, onOutcome)
    this._effects.emit({ type: 'appendLog', operationId, stream, records })
  }

  read (stream: string, fromOffset: number, limit: number, onOutcome: (outcome: ReadOutcome) => void): void {
    const operationId = this._effects.nextId()
    this._reads.set(operationId, onOutcome)
    this._effects.emit({ type: 'readLog', operationId, stream, fromOffset, limit })
  }

  handleAppended (operationId: number, outcome: AppendOutcome): void {
    const onOutcome = this._appends.get(operationId)
    this._appends.delete(operationId)
    onOutcome?.(outcome)
  }

  handleRead (operationId: number, outcome: ReadOutcome): void {
    const onOutcome = this._reads.get(operationId)
    this._reads.delete(operationId)
    onOutcome?.(outcome)
  }
}
