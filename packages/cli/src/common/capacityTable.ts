/** Renders the measured slopes and the load at the designed size that follows from them, as Markdown. */
import { DESIGN_SIZE, type Line, type SlopeReport, valueAt } from '@trefoilshunt/testing'

const SECONDS_PER_DAY = 86_400
/** Tokens of a typical program's history; the largest are ten times as long. */
const TYPICAL_HISTORY_TOKENS = 10_000
/** Append rate that all nodes share. */
const LOG_APPENDS_PER_SECOND = 200

/** Renders the slopes and, for each role of a node, the load calculated from them. A figure whose slope was not measured is shown as `-`. */
export function renderCapacity (report: SlopeReport): string {
  return [renderSlopes(report), renderRoles(report)].join('\n\n')
}

function renderSlopes ({ slopes, costs }: SlopeReport): string {
  const rows = slopes.map(slope => `| ${slope.name} | ${format(slope.intercept)} + ${format(slope.slope)} per ${slope.per} | ${slope.unit} | ${(slope.residual * 100).toFixed(1)} % | ${slope.points.map(point => `${format(point.x)}: ${format(point.y)}`).join(', ')} |`)
  const costRows = costs.map(cost => `| ${cost.name} | ${format(cost.value)} | ${cost.unit} | | |`)
  return ['| measured | line | unit | residual | points |', '| --- | --- | --- | --- | --- |', ...rows, ...costRows].join('\n')
}

function renderRoles (report: SlopeReport): string {
  const rows = roleRows(report).map(({ role, quantity, value, limit }) => `| ${role} | ${quantity} | ${value} | ${limit} |`)
  return ['| role | at the designed size, a node | calculated | limit |', '| --- | --- | --- | --- |', ...rows].join('\n')
}

interface RoleRow {
  role: string
  quantity: string
  value: string
  limit: string
}

function roleRows (report: SlopeReport): RoleRow[] {
  const { nodes, workers, programs, requestsPerSecond, tokensPerSecond, changesPerDay, controlCoreShare, controlBytes, controlBytesPerSecond } = DESIGN_SIZE
  const line = (name: string, per: string): Line => report.slopes.find(slope => slope.name === name && slope.per === per) ?? { intercept: NaN, slope: NaN, residual: NaN }
  const cost = (name: string) => report.costs.find(candidate => candidate.name.startsWith(name))?.value ?? NaN
  const coordinatedWorkers = workers / nodes
  const ownedPrograms = programs / nodes
  const requests = requestsPerSecond / nodes
  const tokens = tokensPerSecond / nodes
  const stepMs = line('kernel time of steps, tokens streamed one by one', 'step').slope
  const tokensPerStep = cost('tokens generated')
  const stepBytes = line('bytes in the log', 'step').slope
  const idleNodeCpu = valueAt(line('kernel time of an idle node', 'node'), nodes)
  const coordinatorCpu = line('kernel time of an idle node', 'coordinated worker').slope * coordinatedWorkers
  const documentBytes = cost('a change of configuration in the log')
  const historyBytes = line('memory of histories', 'token').slope
  return [
    { role: 'prober', quantity: 'messages/s', value: format(valueAt(line('messages between nodes, a node and second', 'node'), nodes)), limit: '' },
    { role: 'prober', quantity: 'bytes/s sent', value: format(valueAt(line('bytes between nodes, sent by a node a second', 'node'), nodes)), limit: `${controlBytesPerSecond}` },
    { role: 'prober and control stream reader', quantity: 'core share, idle', value: format(idleNodeCpu), limit: `${controlCoreShare} with the coordinator` },
    { role: 'control stream reader', quantity: 'bytes/s read, averaged over the day', value: format(changesPerDay * documentBytes / SECONDS_PER_DAY), limit: `${controlBytesPerSecond} with the prober` },
    { role: 'control stream reader', quantity: 'reads/s, all nodes', value: format(valueAt(line('reads of the log, a node and second', 'node'), nodes) * nodes), limit: 'the log\'s read rate' },
    { role: 'worker coordinator', quantity: `core share for ${format(coordinatedWorkers)} workers`, value: format(coordinatorCpu), limit: `${controlCoreShare} with the prober` },
    { role: 'worker coordinator', quantity: 'ms after a change of membership', value: format(cost('new VM list')), limit: '56 between two tokens' },
    { role: 'program owner', quantity: 'programs', value: format(ownedPrograms), limit: '' },
    { role: 'program owner', quantity: 'MB of program state without history', value: format(ownedPrograms * line('memory of a program with one short turn', 'program').slope / 1e6), limit: `${controlBytes / 1e6}` },
    { role: 'program owner', quantity: `MB of histories of ${TYPICAL_HISTORY_TOKENS} tokens`, value: format(ownedPrograms * TYPICAL_HISTORY_TOKENS * historyBytes / 1e6), limit: 'the VM\'s memory' },
    { role: 'program owner', quantity: `MB of histories of ${DESIGN_SIZE.historyTokens} tokens`, value: format(ownedPrograms * DESIGN_SIZE.historyTokens * historyBytes / 1e6), limit: 'the VM\'s memory' },
    { role: 'program owner', quantity: `core share for ${format(requests)} requests/s of ${format(tokensPerStep)} tokens`, value: format(requests * stepMs / 1_000), limit: 'data path, one core' },
    { role: 'program owner', quantity: `core share for ${format(tokens)} tokens/s`, value: format(tokens / tokensPerStep * stepMs / 1_000), limit: 'data path, one core' },
    { role: 'log writer', quantity: 'appends/s, share of the budget', value: format(LOG_APPENDS_PER_SECOND / nodes), limit: `${LOG_APPENDS_PER_SECOND} over all nodes` },
    { role: 'log writer', quantity: 'ms between two appends', value: format(nodes / LOG_APPENDS_PER_SECOND * 1_000), limit: '300 until the end of a turn is reported without the log' },
    { role: 'log writer', quantity: 'bytes/s at the peak, all nodes', value: format(requestsPerSecond * stepBytes + (tokensPerSecond - requestsPerSecond * tokensPerStep) * 4), limit: 'the log\'s bandwidth' }
  ]
}

function format (value: number): string {
  if (!Number.isFinite(value)) return '-'
  if (Math.abs(value) >= 1_000) return Math.round(value).toLocaleString('en')
  return Number(value.toPrecision(3)).toString()
}
