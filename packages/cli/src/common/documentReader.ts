/** How the command line reads a route document; a platform adapter implements it for the operator's form of it. */
import type { RouteDocument } from '@trefoilshunt/core'
import type { Diagnostic } from '@trefoilshunt/protocol'
import type { Either } from 'purify-ts'

export interface IDocumentReader {
  /** The document, or all mistakes in it with their positions. */
  read: (file: string, text: string) => Either<Diagnostic[], RouteDocument>
  /** Line and column of the entry with a path, counted from 1. */
  locate: (text: string, path: Array<string | number>) => { line: number, column: number }
}
