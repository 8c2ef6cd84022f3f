/** Reads JSON with comments and reports problems by line and column. */
import { type Either, Left, Right } from 'purify-ts'
import { findNodeAtLocation, type Node, parse, parseTree, type ParseError, printParseErrorCode } from 'jsonc-parser'
import type { z } from 'zod'

/** One problem in a text. Lines and columns count from 1. */
export interface Diagnostic {
  file: string
  line: number
  column: number
  message: string
}

/**
 * Parses JSONC and checks it against a schema.
 *
 * @returns the checked value, or every problem with its place in the text.
 * @example
 * parseJsonc('settings.jsonc', text, settingsSchema).mapLeft(problems => problems.map(formatDiagnostic))
 */
export function parseJsonc<S extends z.ZodType> (file: string, text: string, schema: S): Either<Diagnostic[], z.output<S>> {
  const errors: ParseError[] = []
  const options = { allowTrailingComma: true }
  const value: unknown = parse(text, errors, options)
  if (errors.length > 0) {
    return Left(errors.map(error => ({ file, ...positionOf(text, error.offset), message: describeSyntaxError(error) })))
  }
  const checked = schema.safeParse(value)
  if (checked.success) return Right(checked.data)
  const tree = parseTree(text, [], options)
  return Left(checked.error.issues.map(issue => {
    const path = issue.path.map(part => typeof part === 'symbol' ? String(part) : part)
    const where = path.length === 0 ? '' : `${path.join('.')}: `
    return { file, ...positionOf(text, offsetOf(tree, path)), message: `${where}${issue.message}` }
  }))
}

/** One line for a person: file, line, column and what is wrong. */
export function formatDiagnostic ({ file, line, column, message }: Diagnostic): string {
  return `${file}:${line}:${column}: ${message}`
}

/** Line and column of an offset, from 1. */
export function positionOf (text: string, offset: number): { line: number, column: number } {
  const before = text.slice(0, offset).split('\n')
  return { line: before.length, column: before[before.length - 1].length + 1 }
}

function describeSyntaxError (error: ParseError): string {
  return `not valid JSON: ${printParseErrorCode(error.error)}`
}

/** The offset of the deepest part of a path that the text has. */
function offsetOf (tree: Node | undefined, path: Array<string | number>): number {
  for (let length = path.length; length > 0; length--) {
    const node = tree === undefined ? undefined : findNodeAtLocation(tree, path.slice(0, length))
    if (node !== undefined) return node.offset
  }
  return tree?.offset ?? 0
}
