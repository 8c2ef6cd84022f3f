/** Finds out what became of a non-repeatable step whose answer is not known. */
import { inject, injectable } from 'tsyringe'
import type { StepResult } from '../kernel/callerMessages.js'
import { IServiceDispatch } from '../dispatch/serviceDispatch.js'
import { IJournalReader } from '../journal/journalReader.js'
import type { LiveProgram } from './liveProgram.js'
import type { OpenIntent } from './programState.js'

/** Looks for evidence, never sends the step again. */
@injectable()
export class IntentResolver {
  constructor (
    @inject(IJournalReader) private readonly _reader: IJournalReader,
    @inject(IServiceDispatch) private readonly _services: IServiceDispatch
  ) {}

  /** Looks in the former home's journal for a result behind the fence, then asks the service. */
  resolve (program: LiveProgram, claim: OpenIntent, idempotencyKey: string, onResolved: (result: StepResult | undefined) => void): void {
    this._findInFormerJournal(program, claim, result => {
      if (result !== undefined || claim.call.type !== 'service') onResolved(result)
      else this._services.lookup(claim.call.service, idempotencyKey, onResolved)
    })
  }

  private _findInFormerJournal (program: LiveProgram, claim: OpenIntent, onFound: (result: StepResult | undefined) => void): void {
    if (program.formerJournal === undefined) {
      onFound(undefined)
      return
    }
    this._reader.readJournal(program.formerJournal, state => {
      const turn = state?.programs.get(program.state.programId)?.turns[claim.step - 1]
      onFound(turn?.key === claim.key ? turn.result : undefined)
    })
  }
}
