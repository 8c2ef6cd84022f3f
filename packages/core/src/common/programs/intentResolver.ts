/** Looks for the result of a non-repeatable step that was sent and whose answer is not known. */
import { inject, injectable } from 'tsyringe'
import type { StepResult } from '../kernel/callerMessages.js'
import { IServiceDispatch } from '../dispatch/serviceDispatch.js'
import { IJournalReader } from '../journal/journalReader.js'
import type { LiveProgram } from './liveProgram.js'
import type { OpenIntent } from './programState.js'

/** Resolves open intents from the journal and from the service; never sends the call again. */
@injectable()
export class IntentResolver {
  constructor (
    @inject(IJournalReader) private readonly _reader: IJournalReader,
    @inject(IServiceDispatch) private readonly _services: IServiceDispatch
  ) {}

  /**
   * Looks in the former owner's journal for a result that was appended after the fence, then queries the service by the
   * idempotency key. `onResolved` gets undefined when neither has a result.
   */
  resolve (program: LiveProgram, intent: OpenIntent, idempotencyKey: string, onResolved: (result: StepResult | undefined) => void): void {
    this._findInFormerJournal(program, intent, result => {
      if (result !== undefined || intent.call.type !== 'service') onResolved(result)
      else this._services.lookup(intent.call.service, idempotencyKey, onResolved)
    })
  }

  private _findInFormerJournal (program: LiveProgram, intent: OpenIntent, onFound: (result: StepResult | undefined) => void): void {
    if (program.formerJournal === undefined) {
      onFound(undefined)
      return
    }
    this._reader.readJournal(program.formerJournal, state => {
      const turn = state?.programs.get(program.state.programId)?.turns[intent.step - 1]
      onFound(turn?.key === intent.key ? turn.result : undefined)
    })
  }
}
