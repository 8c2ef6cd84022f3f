/** The operators' commands: `trefoilshunt config …`, `trefoilshunt audit` and `trefoilshunt programs`. */
import type { CallerReply, ConfigurationDocument } from '@trefoilshunt/core'
import { diffDocuments } from '../common/documentDiff.js'
import { ExitCode } from '../common/exitCodes.js'
import { formatTable } from '../common/table.js'
import { readDocument } from './files.js'
import { type ConnectionOptions, sendOperatorRequest } from './operatorClient.js'
import { type OutputOptions, printError, printResult } from './output.js'

/** Options of the commands that send requests to nodes. */
export type RemoteOptions = ConnectionOptions & OutputOptions

/** Checks a document without contacting a node. */
export function runValidate (options: OutputOptions & { file: string }): void {
  readDocument(options.file).caseOf({
    Left: problems => printResult(options, { isValid: false, problems }, () => problems.join('\n'), ExitCode.Usage),
    Right: document => printResult(options, { isValid: true }, () => `${options.file}: valid, ${document.workKinds.length} work kinds, ${document.customers.length} customers, ${document.backends.length} back ends`)
  })
}

/** Shows the differences between a document and the current one of an environment. */
export async function runDiff (options: RemoteOptions & { file: string, environment: string }): Promise<void> {
  const document = readDocument(options.file)
  if (document.isLeft()) return printError((document.extract() as string[]).join('\n'), ExitCode.Usage)
  const current = await readCurrentConfiguration(options, options.environment)
  if (current === undefined) return
  const differences = diffDocuments(current.document, document.extract())
  const lines = () => differences.length === 0
    ? `no difference from revision ${current.revision}`
    : differences.map(({ path, before, after }) => `${path}: ${JSON.stringify(before)} -> ${JSON.stringify(after)}`).join('\n')
  printResult(options, { revision: current.revision, differences }, lines)
}

/** Makes a document the active configuration of an environment. Without `base`, the change is based on the current revision. */
export async function runApply (options: RemoteOptions & { file: string, environment: string, base?: number }): Promise<void> {
  const document = readDocument(options.file)
  if (document.isLeft()) return printError((document.extract() as string[]).join('\n'), ExitCode.Usage)
  const baseRevision = options.base ?? (await readCurrentConfiguration(options, options.environment))?.revision
  if (baseRevision === undefined) return
  const reply = await sendOperatorRequest(options, { type: 'apply', environment: options.environment, baseRevision, document: document.extract(), by: '' })
  reply.caseOf({ Left: problem => printError(problem), Right: answer => printChange(options, answer) })
}

/** Makes a revision of one environment the active configuration of another. Without `base`, the change is based on the current revision there. */
export async function runPromote (options: RemoteOptions & { from: string, to: string, revision: number, base?: number }): Promise<void> {
  const baseRevision = options.base ?? (await readCurrentConfiguration(options, options.to))?.revision
  if (baseRevision === undefined) return
  const reply = await sendOperatorRequest(options, { type: 'promote', from: options.from, to: options.to, revision: options.revision, baseRevision, by: '' })
  reply.caseOf({ Left: problem => printError(problem), Right: answer => printChange(options, answer) })
}

/** Shows the active revision of each environment and node. Fails when the nodes do not all have the same revision. */
export async function runStatus (options: RemoteOptions): Promise<void> {
  const reply = await sendOperatorRequest(options, { type: 'configuration' })
  reply.caseOf({
    Left: problem => printError(problem),
    Right: view => {
      if (view.type !== 'configurationView') return printUnexpected(view)
      const environments = formatTable(['environment', 'revision', 'log offset'], view.environments.map(state => [state.environment, state.revision, state.offset]))
      const nodes = formatTable(['node', 'environment', 'active revision'], view.nodes.map(node => [node.node, node.environment, node.revision]))
      const isSameEverywhere = new Set(view.nodes.map(node => node.revision)).size <= 1
      printResult(options, view, () => `${environments}\n\n${nodes}`, isSameEverywhere ? ExitCode.Ok : ExitCode.Failed)
    }
  })
}

/** Shows the audit trail; `config history` shows its configuration changes only. */
export async function runAudit (options: RemoteOptions & { limit: number, onlyConfiguration: boolean }): Promise<void> {
  const reply = await sendOperatorRequest(options, { type: 'audit', limit: options.limit })
  reply.caseOf({
    Left: problem => printError(problem),
    Right: view => {
      if (view.type !== 'auditView') return printUnexpected(view)
      const entries = view.entries.filter(entry => !options.onlyConfiguration || entry.action.startsWith('configuration'))
      const rows = entries.map(entry => [entry.offset, new Date(entry.atMs).toISOString(), entry.action, entry.by, entry.subject, entry.outcome, entry.detail])
      printResult(options, entries, () => formatTable(['offset', 'time', 'action', 'by', 'subject', 'outcome', 'detail'], rows))
    }
  })
}

/** Lists the programs that each given node owns. */
export async function runPrograms (options: RemoteOptions): Promise<void> {
  const replies = []
  for (const address of options.address) {
    const reply = await sendOperatorRequest({ ...options, address: [address] }, { type: 'programs' })
    if (reply.isLeft()) return printError(reply.extract() as string)
    replies.push(reply.extract() as CallerReply)
  }
  const rows = replies.flatMap(reply => reply.type === 'programList' ? reply.programs.map(program => [reply.node, program.programId, program.customer, program.kind, program.rank, program.nextStep, program.idleMs]) : [])
  printResult(options, replies, () => formatTable(['node', 'program', 'customer', 'kind', 'rank', 'next step', 'idle ms'], rows))
}

/** The current revision of an environment, 0 before the first document; undefined after a failure, which has been printed. */
async function readCurrentConfiguration (options: RemoteOptions, environment: string): Promise<{ revision: number, document?: ConfigurationDocument } | undefined> {
  const reply = await sendOperatorRequest(options, { type: 'configuration', environment })
  if (reply.isLeft()) {
    printError(reply.extract() as string)
    return undefined
  }
  const view = reply.extract() as CallerReply
  if (view.type !== 'configurationView') {
    printUnexpected(view)
    return undefined
  }
  return view.environments.find(state => state.environment === environment) ?? { revision: 0 }
}

function printChange (options: OutputOptions, reply: CallerReply): void {
  if (reply.type === 'accepted') printResult(options, reply, () => `accepted: ${reply.environment} revision ${reply.revision} at log offset ${reply.offset}`)
  else if (reply.type === 'refused') printResult(options, reply, () => `refused (${reply.reason}): ${reply.detail}`, ExitCode.Failed)
  else printUnexpected(reply)
}

function printUnexpected (reply: unknown): void {
  printError(`unexpected answer: ${JSON.stringify(reply)}`)
}
