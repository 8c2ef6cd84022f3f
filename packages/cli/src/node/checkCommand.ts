/** `trefoilshunt check`: errors and contradictions of a route document, and what it changes, before it is sent to the nodes. */
import { createHash } from 'node:crypto'
import { readFileSync } from 'node:fs'
import { checkDocument, describeChanges, type DocumentChange, type DocumentFinding, FindingSeverity, type RouteDocument } from '@trefoilshunt/core'
import { type Diagnostic, formatDiagnostic } from '@trefoilshunt/protocol'
import type { IDocumentReader } from '../common/documentReader.js'
import { ExitCode } from '../common/exitCodes.js'
import { type OutputOptions, printError, printResult } from './output.js'

const DIGEST_DIGITS = 8
const BYTES_PER_MB = 1_000_000

/** Options of `trefoilshunt check`. */
export interface CheckOptions extends OutputOptions {
  file: string
  /** File with the active document. */
  against?: string
  /** Treats warnings as errors. */
  strict: boolean
  /** Memory of the smallest node. */
  memoryMb?: number
  /** Nodes that share the connections to a worker. */
  nodes?: number
}

interface CheckResult {
  findings: Array<DocumentFinding & Diagnostic>
  /** Absent without a document to compare with. */
  changes?: DocumentChange[]
}

/** Prints the findings and changes; fails if there is an error, and with `ExitCode.Usage` if a file can't be read. */
export function runCheck (options: CheckOptions, reader: IDocumentReader): void {
  const edited = readDocument(options.file, reader)
  const active = options.against === undefined ? undefined : readDocument(options.against, reader)
  const unreadable = [edited, active].flatMap(result => result?.problems ?? [])
  if (edited.document === undefined || unreadable.length > 0) {
    printError(unreadable.join('\n'), ExitCode.Usage)
    return
  }
  const { document, text } = edited
  const memoryBytes = options.memoryMb === undefined ? undefined : options.memoryMb * BYTES_PER_MB
  const findings = checkDocument(document, { memoryBytes, nodeCount: options.nodes, digestKey })
    .map(finding => ({ ...finding, file: options.file, ...reader.locate(text, finding.path) }))
  const changes = active?.document === undefined ? undefined : describeChanges(active.document, document, { digestKey })
  const isFailed = findings.some(({ severity }) => options.strict || severity === FindingSeverity.Error)
  printResult(options, { findings, changes } satisfies CheckResult, () => formatResult(options.file, { findings, changes }), isFailed ? ExitCode.Failed : ExitCode.Ok)
}

function readDocument (file: string, reader: IDocumentReader): { text: string, document?: RouteDocument, problems: string[] } {
  let text = ''
  try {
    text = readFileSync(file, 'utf8')
  } catch (error) {
    return { text, problems: [`${file}: ${(error as Error).message}`] }
  }
  return reader.read(file, text).caseOf<{ text: string, document?: RouteDocument, problems: string[] }>({
    Left: problems => ({ text, problems: problems.map(formatDiagnostic) }),
    Right: document => ({ text, document, problems: [] })
  })
}

function formatResult (file: string, { findings, changes }: CheckResult): string {
  const lines = findings.map(finding => formatDiagnostic({ ...finding, message: `${finding.severity}: ${finding.message} [${finding.rule}]` }))
  if (findings.length === 0) lines.push(`${file}: no findings`)
  if (changes !== undefined) lines.push(...changes.map(({ subject, effect }) => `${subject}: ${effect}`), `${changes.length} changes`)
  return lines.join('\n')
}

/** The first digits of the SHA-256 of an access key, as log lines of refused keys have it. */
function digestKey (accessKey: string): string {
  return createHash('sha256').update(accessKey).digest('hex').slice(0, DIGEST_DIGITS)
}
