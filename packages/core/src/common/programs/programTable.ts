/** The programs whose home is this node. */
import { inject, injectable } from 'tsyringe'
import { Emitter, type Event } from '../kernel/emitter.js'
import type { LiveProgram } from './liveProgram.js'
import { IJournal } from '../journal/journal.js'

/** Holds every program that this node may run. */
export interface IProgramTable {
  /** Fires when a program ends here, by closing, by moving away or by a fence. */
  readonly onDidRemove: Event<LiveProgram>
  /** Fires when a program is closed; it stays in the table for a while. */
  readonly onDidClose: Event<LiveProgram>
  recordClosed (program: LiveProgram): void
  get (programId: string): LiveProgram | undefined
  /** The program that holds the budget of `program`'s tree. */
  rootOf (program: LiveProgram): LiveProgram
  add (program: LiveProgram): void
  /** Forgets a program; its open work must have been ended before. */
  remove (programId: string): void
  all (): Iterable<LiveProgram>
  /** Programs of a tree, the root included. */
  treeOf (root: string): LiveProgram[]
  /** Open programs of a customer. */
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
    const tree = this._programIdsByRoot.get(root) ?? new Set()
    tree.add(programId)
    this._programIdsByRoot.set(root, tree)
  }

  remove (programId: string): void {
    const program = this._programs.get(programId)
    if (program === undefined) return
    this._programs.delete(programId)
    const tree = this._programIdsByRoot.get(program.state.root)
    tree?.delete(programId)
    if (tree?.size === 0) this._programIdsByRoot.delete(program.state.root)
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
