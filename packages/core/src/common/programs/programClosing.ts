/** Closes programs: on request, when they are abandoned or when their wall time is used up. */
import { inject, injectable } from 'tsyringe'
import { IClock } from '../kernel/clock.js'
import { ILogger } from '../kernel/effectQueue.js'
import type { LiveProgram } from './liveProgram.js'
import { IProgramTable } from './programTable.js'

/** Closes programs together with their sub-agents. */
export interface IProgramClosing {
  /** Closes the program and its sub-agents in this node's table, as far as they are open, and cancels calls that can be stopped. */
  close (program: LiveProgram, reason: string): void
}
export const IProgramClosing = Symbol('IProgramClosing')

@injectable()
export class ProgramClosing implements IProgramClosing {
  constructor (
    @inject(IClock) private readonly _clock: IClock,
    @inject(IProgramTable) private readonly _programs: IProgramTable,
    @inject(ILogger) private readonly _logger: ILogger
  ) {}

  close (program: LiveProgram, reason: string): void {
    const descendants = this._programs.treeOf(program.state.root).filter(child => this._isDescendant(child, program))
    for (const member of [program, ...descendants]) this._closeOne(member, reason)
  }

  private _isDescendant (child: LiveProgram, ancestor: LiveProgram): boolean {
    let parentId = child.state.parent
    while (parentId !== undefined) {
      if (parentId === ancestor.state.programId) return true
      parentId = this._programs.get(parentId)?.state.parent
    }
    return false
  }

  private _closeOne (program: LiveProgram, reason: string): void {
    if (program.state.closedReason !== undefined) return
    program.running?.cancel?.('closed')
    program.state.closedReason = reason
    program.closedAtMs = this._clock.nowMs()
    program.journal.append({ type: 'programClosed', programId: program.state.programId, reason }, () => {})
    this._logger.info('programClosed', { program: program.state.programId, reason, steps: program.state.turns.length })
    this._programs.recordClosed(program)
  }
}
