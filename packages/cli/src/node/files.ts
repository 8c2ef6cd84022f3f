/** Reads and checks files in JSON with comments. */
import { readFileSync } from 'node:fs'
import { type Either, Left } from 'purify-ts'
import type { z } from 'zod'
import { configurationDocumentSchema, type ConfigurationDocument } from '@trefoilshunt/core'
import { formatDiagnostic, parseJsonc } from '@trefoilshunt/protocol'

/** Reads and checks a file; Left lists the problems, with file, line and column, or the error of reading. */
export function readJsonc<S extends z.ZodType> (file: string, schema: S): Either<string[], z.output<S>> {
  try {
    return parseJsonc(file, readFileSync(file, 'utf8'), schema).mapLeft(problems => problems.map(formatDiagnostic))
  } catch (error) {
    return Left([`${file}: ${(error as Error).message}`])
  }
}

/** Reads and checks a configuration document. */
export function readDocument (file: string): Either<string[], ConfigurationDocument> {
  return readJsonc(file, configurationDocumentSchema)
}
