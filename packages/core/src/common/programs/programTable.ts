/** The table of the programs that this node owns. */
import { inject, injectable } from 'tsyringe'
import { Emitter, type Event } from '../kernel/emitter.js'
import type { LiveProgram } from './liveProgram.js'
import { IJournal } from '../journal/journal.js'

/** Holds every program that this node owns, open or recently closed. */
export interface IProgramTable {
  /** Fires when a program leaves the table: some time after its close, after a handover, or when its journal is fenced. */
  readonly onDidRemove: Event<LiveProgram>
  /** Fires when a program is closed; it stays in the table for a while. */
  readonly onDidClose: Event<LiveProgram>
  /** Fires `onDidClose`; called once the program is marked as closed. */
  recordClosed (program: LiveProgram): void
  /** Undefined when this node does not own the program. */
  get (programId: string): LiveProgram | undefined
  /** The program that holds the budget of `program`'s tree; `program` itself when the root is not in the table. */
  rootOf (program: LiveProgram): LiveProgram
  add (program: LiveProgram): void
  /** Removes a program without ending its running step. */
  remove (programId: string): void
  all (): Iterable<LiveProgram>
  /** Programs of a tree that are in the table, the root included. */
  treeOf (root: string): LiveProgram[]
  /** Number of a customer's open programs at this node. */
  countOpen (customer: string): number
  readonly size: number
}
export const IProgramTable = Symbol('IProgramTable')

@injectable()
export class ProgramTable implements IProgramTable {
  private readonly _programs = new Map<string, LiveProgram>()
  private readonly _programIdsByRoot = new Map<string, Set<string>>()
  private readonly _didRemove = new Emitter<LiveProgram>()
  private readonly _didClose = new Emitter<LiveProgram>()

  readonly onDidRemove = this._didRemove.event
  readonly onDidClose = this._didClose.event

  constructor (@inject(IJournal) journal: IJournal) {
    journal.onDidFence(epoch => {
      for (const program of [...this._programs.values()]) {
        if (program.journal === epoch) this.remove(program.state.programId)
      }
    })
  }

  get size (): number {
    return this._programs.size
  }

  recordClosed (program: LiveProgram): void {
    this._didClose.fire(program)
  }

  get (programId: string): LiveProgram | undefined {
    return this._programs.get(programId)
  }

  rootOf (program: LiveProgram): LiveProgram {
    return this._programs.get(program.state.root) ?? program
  }

  add (program: LiveProgram): void {
    const { programId, root } = program.state
    this._programs.set(programId, program)
    const treeIds = this._programIdsByRoot.get(root) ?? new Set()
    treeIds.add(programId)
    this._programIdsByRoot.set(root, treeIds)
  }

  remove (programId: string): void {
    const program = this._programs.get(programId)
    if (program === undefined) return
    this._programs.delete(programId)
    const treeIds = this._programIdsByRoot.get(program.state.root)
    treeIds?.delete(programId)
    if (treeIds?.size === 0) this._programIdsByRoot.delete(program.state.root)
    this._didRemove.fire(program)
  }

  all (): Iterable<LiveProgram> {
    return this._programs.values()
  }

  treeOf (root: string): LiveProgram[] {
    const ids = this._programIdsByRoot.get(root) ?? new Set<string>()
    return [...ids].flatMap(id => this._programs.get(id) ?? [])
  }

  countOpen (customer: string): number {
    let count = 0
    for (const { state } of this._programs.values()) {
      if (state.customer === customer && state.closedReason === undefined) count++
    }
    return count
  }
}
