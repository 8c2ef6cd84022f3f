/** Parses JSON with comments and reports each problem with line and column. */
import { type Either, Left, Right } from 'purify-ts'
import { findNodeAtLocation, type Node, parse, parseTree, type ParseError, printParseErrorCode } from 'jsonc-parser'
import type { z } from 'zod'

/** A problem in a text. Lines and columns are counted from 1. */
export interface Diagnostic {
  file: string
  line: number
  column: number
  message: string
}

/**
 * Parses JSON with comments and trailing commas and checks it against a schema.
 *
 * @returns the checked value, or all problems with their positions in the text. Schema problems are reported only if the syntax is valid.
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
    const pathPrefix = path.length === 0 ? '' : `${path.join('.')}: `
    return { file, ...positionOf(text, offsetOf(tree, path)), message: `${pathPrefix}${issue.message}` }
  }))
}

/**
 * Position of the entry with a path; of the deepest entry of the path that the text has, if it lacks the rest.
 *
 * @example
 * locateJsonc('{ "routes": [{ "name": "a" }] }', ['routes', 0, 'name']) // { line: 1, column: 24 }
 */
export function locateJsonc (text: string, path: Array<string | number>): { line: number, column: number } {
  return positionOf(text, offsetOf(parseTree(text, [], { allowTrailingComma: true }), path))
}

/** Formats a problem as one readable line, `file:line:column: message`. */
export function formatDiagnostic ({ file, line, column, message }: Diagnostic): string {
  return `${file}:${line}:${column}: ${message}`
}

/** Line and column of an offset, counted from 1. */
export function positionOf (text: string, offset: number): { line: number, column: number } {
  const before = text.slice(0, offset).split('\n')
  return { line: before.length, column: before[before.length - 1].length + 1 }
}

function describeSyntaxError (error: ParseError): string {
  return `not valid JSON: ${printParseErrorCode(error.error)}`
}

/** The offset of the deepest node of the path that is in the text; the offset of the root if none is. */
function offsetOf (tree: Node | undefined, path: Array<string | number>): number {
  for (let length = path.length; length > 0; length--) {
    const node = tree === undefined ? undefined : findNodeAtLocation(tree, path.slice(0, length))
    if (node !== undefined) return node.offset
  }
  return tree?.offset ?? 0
}
